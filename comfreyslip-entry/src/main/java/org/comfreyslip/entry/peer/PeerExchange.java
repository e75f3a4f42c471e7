package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.blame.CrashBlame;
import org.comfreyslip.entry.config.FeedReader;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.ReadIntervals;
import org.comfreyslip.entry.config.StoreReading;
import org.comfreyslip.entry.config.TopicPosition;
import org.comfreyslip.entry.duty.DutyNotice;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.reach.OwnReach;
import org.comfreyslip.entry.retry.RetryBudget;
import org.comfreyslip.entry.retry.RetrySharers;

/**
 * Announces this daemon to the others and exchanges messages with them at regular
 * intervals. Runs on the event loop.
 */
public final class PeerExchange {

	/**
	 * Age from which the announcements are read again, in ms. A daemon that starts reads
	 * all of them after its own and sends messages to all others, so that this only finds
	 * daemons whose messages do not arrive.
	 */
	private static final long ANNOUNCEMENTS_MAX_AGE_MS = 60_000;

	/**
	 * Time from the first read of the announcements to the second, in ms: finds daemons
	 * that started at the same time and whose messages do not arrive.
	 */
	private static final long ANNOUNCEMENTS_SECOND_READ_MS = 5_000;

	/**
	 * Intervals at which the registrations are read. That an endpoint is leaving must be
	 * known within 2 s.
	 */
	public static final ReadIntervals REGISTRATION_INTERVALS = new ReadIntervals(1_500, 700, 700, 1_600, false);

	/** Time for the first message of another daemon after its interval, in ms. */
	private static final long FIRST_MESSAGE_MARGIN_MS = 1_000;

	/** Pause before a failed announcement is retried, in ms. */
	private static final long ANNOUNCE_RETRY_MS = 700;

	/**
	 * Interval at which messages are read and notices of crashes are sent, in ms: short
	 * against the interval of the messages. It is that of the checks of open requests, so
	 * that both wake the process at the same moment.
	 */
	private static final long POLL_INTERVAL_MS = 40;

	private final EventLoop loop;

	private final String name;

	private final String dataCentre;

	private final InetSocketAddress address;

	private final PeerRegistry registry;

	private final LongSupplier elapsedNanos;

	private final KeyedFeed configurationFeed;

	private final KeyedFeed registrationsFeed;

	private final LayerLoads loads;

	private final EngineSlowdowns slowdownFactors;

	private final EndpointFaults faults;

	private final EndpointLimits limits;

	private final RetryBudget budget;

	private final RetrySharers retrySharers;

	/** Elapsed time in ns at which the process started. */
	private final long startedAtNanos;

	private final CrashBlame blame;

	private final OwnReach reach;

	private final CrashNoticeSender crashNotices;

	private final PeerTable table;

	private final KeyedFeed announcementsFeed = new KeyedFeed();

	private final List<PeerExtension> extensions = new ArrayList<>();

	private Consumer<RegistrationRelay> onRelay = (relay) -> {
	};

	private Runnable onPoll = () -> {
	};

	private Consumer<DutyNotice> onDutyNotice = (notice) -> {
	};

	private PeerSocket socket;

	private final ReadingRole readingRole;

	/** Whether this daemon reached the store when it sent the last round. */
	private boolean reachedStoreInLastRound;

	private ScheduledFuture<?> nextRound;

	/** Whether this daemon is shutting down and no longer reads for others. */
	private boolean stopping;

	/** Whether the announcements are being read. */
	private boolean readingAnnouncements;

	/** Whether the store has acknowledged an announcement. */
	private boolean announced;

	/** Elapsed time in ns at which the announcements were read first; empty before. */
	private OptionalLong announcementsReadNanos = OptionalLong.empty();

	/** Elapsed time in ns of the last round. */
	private long lastRoundNanos;

	/** Elapsed time in ns from which a round includes other data centres. */
	private long nextRemoteRoundNanos;

	/**
	 * Creates the exchange.
	 * @param loop the event loop that runs the exchange
	 * @param name this daemon's name
	 * @param dataCentre this daemon's data centre
	 * @param address address on which this daemon receives datagrams
	 * @param registry the announcements of all daemons
	 * @param elapsedNanos clock of the elapsed time, in ns
	 * @param configurationFeed position in the configuration topic; confirmed by peers
	 * @param registrationsFeed position in the registrations of endpoints; confirmed by
	 * peers
	 * @param loads loads of the endpoints; own ones are sent, those of peers are received
	 * @param slowdownFactors slowdown factors of the engines; sent and received
	 * @param faults faults of the endpoints; sent and received
	 * @param limits limits that endpoints stated; sent and received
	 * @param budget retry budget that the daemons share
	 * @param blame causes of crashes; sent and received
	 * @param reach what this daemon reaches; sent
	 * @param configurationApplyMs gives the time in which a configuration must be in
	 * force, in ms
	 */
	public PeerExchange(EventLoop loop, String name, String dataCentre, InetSocketAddress address,
			PeerRegistry registry, LongSupplier elapsedNanos, KeyedFeed configurationFeed, KeyedFeed registrationsFeed,
			LayerLoads loads, EngineSlowdowns slowdownFactors, EndpointFaults faults, EndpointLimits limits,
			RetryBudget budget, CrashBlame blame, OwnReach reach, LongSupplier configurationApplyMs) {
		this.loop = loop;
		this.name = name;
		this.dataCentre = dataCentre;
		this.address = address;
		this.registry = registry;
		this.elapsedNanos = elapsedNanos;
		this.configurationFeed = configurationFeed;
		this.registrationsFeed = registrationsFeed;
		this.loads = loads;
		this.slowdownFactors = slowdownFactors;
		this.faults = faults;
		this.limits = limits;
		this.budget = budget;
		this.startedAtNanos = elapsedNanos.getAsLong();
		this.retrySharers = new RetrySharers(this.startedAtNanos);
		this.blame = blame;
		this.reach = reach;
		this.crashNotices = new CrashNoticeSender(blame, new SplittableRandom(), System.nanoTime());
		this.table = new PeerTable(dataCentre);
		this.readingRole = new ReadingRole(dataCentre, name, this.table, configurationApplyMs);
	}

	/**
	 * Sets what is done with the registrations that another daemon passes on.
	 * @param action takes each relay of a daemon of this data centre
	 */
	public void setOnRelay(Consumer<RegistrationRelay> action) {
		this.onRelay = action;
	}

	/**
	 * Sets what is done with a notice of the holder of the placement duty.
	 * @param action takes each notice
	 */
	public void setOnDutyNotice(Consumer<DutyNotice> action) {
		this.onDutyNotice = action;
	}

	/**
	 * Sets what is done each time that the datagrams are read, every 40 ms.
	 * @param action the action, which throws nothing
	 */
	public void setOnPoll(Runnable action) {
		this.onPoll = action;
	}

	/**
	 * Reads the datagrams that have arrived, between two of the regular reads. They are
	 * handled after the present task of the event loop.
	 */
	public void readDatagrams() {
		this.socket.read();
	}

	/**
	 * Sends a datagram to a daemon. Nothing is sent to one whose address is not known.
	 * @param datagram the encoded datagram, which must not be changed afterwards
	 * @param receiver name of the daemon
	 */
	public void send(byte[] datagram, String receiver) {
		this.table.address(receiver).ifPresent((to) -> this.socket.send(datagram, to));
	}

	/**
	 * Tells whether this daemon reaches the store and the engines, has read the store and
	 * is not stopping, as it states in its messages.
	 * @return whether it does
	 */
	public boolean isStoreReachable() {
		return !this.stopping && !this.reach.isCutOffFromEngines() && isRead(this.configurationFeed)
				&& isRead(this.registrationsFeed);
	}

	private static boolean isRead(KeyedFeed feed) {
		return feed.hasBeenRead() && !feed.isStoreUnavailable();
	}

	/**
	 * Tells whether this daemon has read the announcements of the others and has heard
	 * from one of them, if there are any. A daemon whose announced peers have all ended
	 * hears from none, and waits as long as a peer may be silent.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether the absence of a daemon in the table says something
	 */
	public boolean knowsPeers(long nowNanos) {
		if (this.announcementsReadNanos.isEmpty()) {
			return false;
		}
		if (this.table.hasHeardFromAny()) {
			return true;
		}
		int others = this.table.targets().size();
		long silentNanos = TimeUnit.MILLISECONDS
			.toNanos(PeerSchedule.remoteIntervalMs(others) + FIRST_MESSAGE_MARGIN_MS);
		return others == 0 || nowNanos - this.announcementsReadNanos.getAsLong() >= silentNanos;
	}

	/**
	 * Adds a block to the messages. Must be called before {@link #start()}.
	 * @param extension the part of the daemon that writes and reads the block
	 */
	public void addExtension(PeerExtension extension) {
		this.extensions.add(extension);
	}

	/** Opens the socket and starts the exchange. Must be called on the event loop. */
	public void start() {
		this.socket = new PeerSocket(this.loop, this.address, this::onMessage, (relay) -> this.onRelay.accept(relay),
				(notice) -> this.blame.onNotice(notice, System.nanoTime()),
				(notice) -> this.onDutyNotice.accept(notice));
		announce();
		this.nextRound = this.loop.schedule(this::sendRound, PeerSchedule.LOCAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::exchangeNews, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void exchangeNews() {
		this.socket.read();
		sendCrashNotices();
		replaceLostReader();
		this.onPoll.run();
	}

	// Replaces a reader that is lost. If it is this daemon, tells the followers at once.
	private void replaceLostReader() {
		long now = this.elapsedNanos.getAsLong();
		if (this.readingRole.isReaderLost(now)) {
			updateStoreReading(isStoreReachable(), now);
		}
		if (storeReading().followers() > 0 && this.reachedStoreInLastRound && !isStoreReachable()) {
			sendRound();
		}
	}

	private void sendCrashNotices() {
		for (CrashNoticeSender.Outgoing<PeerTable.Target> outgoing : this.crashNotices.update(this.table::targets,
				System.nanoTime())) {
			byte[] datagram = CrashNoticeCodec.encode(outgoing.notice());
			outgoing.targets().forEach((target) -> this.socket.send(datagram, target.address()));
		}
	}

	private void announce() {
		this.announced = false;
		this.registry.announce(this.name, this.address, (done) -> {
			this.announced = done;
			if (!done) {
				this.loop.schedule(this::announce, ANNOUNCE_RETRY_MS, TimeUnit.MILLISECONDS);
			}
			readAnnouncements(done);
		});
	}

	// Of two daemons that start at the same time, the one that announces itself later
	// finds the other, because each reads after its own announcement.
	private void readAnnouncements(boolean announcedNow) {
		if (this.readingAnnouncements) {
			if (announcedNow) {
				this.announcementsFeed.requireRead(this.elapsedNanos.getAsLong());
			}
			return;
		}
		this.readingAnnouncements = true;
		ReadIntervals intervals = new ReadIntervals(0, 0, 0, ANNOUNCEMENTS_MAX_AGE_MS, true);
		new FeedReader(this.loop, "announcements", this.registry.announcements(), this.announcementsFeed,
				this.elapsedNanos, this::onAnnouncements, intervals,
				() -> new StoreReading(false, "", storeReading().localPeers(), 0, 0), 0)
			.start();
	}

	/**
	 * Reads the announcements anew, since the store may have lost that of this daemon.
	 * @param era the present era of the store
	 */
	public void onStoreWentBack(long era) {
		this.announcementsFeed.onPeerPosition(new TopicPosition(0, -1, era), OptionalLong.empty(),
				this.elapsedNanos.getAsLong());
	}

	/** Leaves the reading of the store to other daemons. */
	public void stopReadingForOthers() {
		this.stopping = true;
	}

	/**
	 * Returns whether this daemon reads the store by itself, as of the last selection.
	 * @return the decision
	 */
	public StoreReading storeReading() {
		return this.readingRole.current();
	}

	/**
	 * Passes registrations that this daemon has read on to the daemons that follow it.
	 * @param records the records, with consecutive offsets; may be empty
	 * @param nearOutage whether the store was unavailable shortly before
	 */
	public void relay(List<KeyedRecord> records, boolean nearOutage) {
		if (storeReading().followers() == 0) {
			return;
		}
		for (RegistrationRelay relay : RegistrationRelay.split(this.name, this.registrationsFeed.era(), nearOutage,
				records)) {
			byte[] datagram = relay.encode();
			for (PeerTable.Target target : this.table.targets()) {
				if (target.dataCentre().equals(this.dataCentre)) {
					this.socket.send(datagram, target.address());
				}
			}
		}
	}

	private void onAnnouncements(KeyedFeed.Update update) {
		long now = this.elapsedNanos.getAsLong();
		if (this.announced && update.snapshotKeys().filter((keys) -> !keys.contains(this.name)).isPresent()) {
			// The store has gone back to a copy from before the announcement.
			announce();
		}
		if (this.announcementsReadNanos.isEmpty()) {
			this.announcementsReadNanos = OptionalLong.of(now);
			this.loop.schedule(() -> this.announcementsFeed.requireRead(this.elapsedNanos.getAsLong()),
					ANNOUNCEMENTS_SECOND_READ_MS, TimeUnit.MILLISECONDS);
		}
		// The daemons that are new here do not know this one either.
		this.nextRemoteRoundNanos = now;
		for (KeyedRecord keyed : update.records()) {
			if (!keyed.key().equals(this.name)) {
				keyed.value()
					.flatMap(this.registry::decodeAddress)
					.ifPresent((announced) -> onAnnounced(keyed.key(), announced, now));
			}
		}
		if (update.snapshotKeys().isPresent()) {
			this.retrySharers.onAnnouncementsRead();
		}
		updateRetryBudget(now);
	}

	private void onAnnounced(String daemon, InetSocketAddress announced, long nowNanos) {
		this.table.recordAddress(daemon, announced);
		this.retrySharers.onSign(daemon, nowNanos);
	}

	private void onMessage(PeerMessage message, InetSocketAddress from) {
		if (message.sender().equals(this.name)) {
			return;
		}
		long now = this.elapsedNanos.getAsLong();
		this.table.onMessage(message, from, now);
		boolean hasHeardThisProcess = message.echoNanos() >= this.startedAtNanos && message.echoNanos() <= now;
		this.retrySharers.onMessage(message.sender(), hasHeardThisProcess, now);
		OptionalLong confirmedAtNanos = message.confirmedAtNanos(message.configuration(), now);
		this.configurationFeed.onPeerPosition(message.configuration(), confirmedAtNanos, now);
		if (message.dataCentre().equals(this.dataCentre)) {
			confirmedAtNanos
				.ifPresent((atNanos) -> this.configurationFeed.onConfirmationNearby(message.configuration(), atNanos));
		}
		this.registrationsFeed.onPeerPosition(message.registrations(),
				message.confirmedAtNanos(message.registrations(), now), now);
		this.extensions.forEach((one) -> one.onContent(message.sender(), message.dataCentre(),
				Optional.ofNullable(message.extensions().get(one.tag())), now));
		message.slowdownFactors()
			.forEach((id, factor) -> this.slowdownFactors.recordPeerReport(id, factor, System.nanoTime()));
		message.limits().forEach((id, statement) -> this.limits.onPeerStatement(id, statement, System.nanoTime()));
		if (!message.unreachableEndpoints().isEmpty()) {
			long validNanos = TimeUnit.MILLISECONDS
				.toNanos(PeerSchedule.reportValidityMs(this.table.intervalMs(message)));
			message.unreachableEndpoints()
				.forEach((id) -> this.faults.recordPeerReport(id, validNanos, System.nanoTime()));
		}
	}

	private void sendRound() {
		long now = this.elapsedNanos.getAsLong();
		this.loads.setPeerLoads(this.table.totalLoads(now), System.nanoTime());
		updateRetryBudget(now);
		List<PeerTable.Target> targets = this.table.targets();
		Map<String, String> livePeers = this.table.livePeers(now);
		boolean wasSilent = now - this.lastRoundNanos > PeerSchedule.silenceLimitNanos(this.table.countLocalPeers());
		this.lastRoundNanos = now;
		this.blame.setPeers(livePeers.keySet());
		this.limits.setPeers(livePeers, wasSilent, PeerSchedule.settlingNanos(targets.size()), System.nanoTime());
		// The reader of a data centre also stands for election as the leader, who has to
		// reach engines.
		boolean storeReachable = isStoreReachable();
		this.reachedStoreInLastRound = storeReachable;
		updateStoreReading(storeReachable, now);
		List<String> unreachable = this.faults.locallyObservedFaults(System.nanoTime())
			.stream()
			.filter(this.reach::isFaultCertain)
			.toList();
		boolean includeRemote = now - this.nextRemoteRoundNanos >= 0;
		if (includeRemote) {
			this.loads.markReported();
			this.nextRemoteRoundNanos = now
					+ TimeUnit.MILLISECONDS.toNanos(PeerSchedule.remoteIntervalMs(targets.size()));
		}
		byte[] datagram = new PeerMessage(this.name, this.dataCentre, now, 0, this.configurationFeed.position(0, now),
				this.loads.ownLoads(), this.slowdownFactors.ownSlowEngines(System.nanoTime()), unreachable,
				this.limits.ownStatements(System.nanoTime()),
				this.registrationsFeed.position(REGISTRATION_INTERVALS.currentNanos(storeReading()), now),
				storeReachable, !this.stopping && this.reach.takesRelays(), this.reach.lostServices(),
				extensionContents(now))
			.encode();
		for (PeerTable.Target target : targets) {
			if (includeRemote || target.dataCentre().equals(this.dataCentre)) {
				this.socket.send(PeerMessage.withEcho(datagram, target.echoNanos()), target.address());
			}
		}
		this.nextRound.cancel(false);
		this.nextRound = this.loop.schedule(this::sendRound, PeerSchedule.roundIntervalMs(storeReading()),
				TimeUnit.MILLISECONDS);
	}

	private void updateRetryBudget(long nowNanos) {
		int before = this.budget.daemonCount();
		OptionalInt count = this.retrySharers.count(nowNanos);
		OptionalLong informed = this.retrySharers.allInformedNanos();
		// The budget uses the steady time of requests.
		OptionalLong counted = informed.isEmpty() ? informed
				: OptionalLong.of(System.nanoTime() - (nowNanos - informed.getAsLong()));
		if (this.budget.setDaemonCount(count, counted)) {
			EntryLog.write(EntryEvent.RETRY_SHARERS, this.name, "daemons", this.budget.daemonCount(), "before", before,
					"known", this.table.targets().size(), "heard", this.table.livePeers(nowNanos).size());
		}
	}

	private Map<Integer, byte[]> extensionContents(long nowNanos) {
		Map<Integer, byte[]> contents = new HashMap<>();
		for (PeerExtension extension : this.extensions) {
			extension.content(nowNanos).ifPresent((content) -> contents.put(extension.tag(), content));
		}
		return contents;
	}

	private void updateStoreReading(boolean storeReachable, long nowNanos) {
		if (this.readingRole.update(storeReachable, nowNanos)) {
			EntryLog.write(EntryEvent.STORE_READING, this.name, "reads", storeReading().reads(), "reader",
					storeReading().reader(), "local_peers", storeReading().localPeers(), "store_reachable",
					storeReachable);
		}
	}

	/**
	 * Returns the other daemons.
	 * @return the live table
	 */
	public PeerTable table() {
		return this.table;
	}

}
