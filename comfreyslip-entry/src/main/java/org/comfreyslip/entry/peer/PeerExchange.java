package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.config.FeedReader;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.retry.RetryBudget;

/**
 * Announces this daemon to the others and exchanges messages with them at regular
 * intervals. Runs on the event loop.
 */
public final class PeerExchange {

	/**
	 * How long a read of the announcements waits at the store, in ms. They change only
	 * with the set of daemons.
	 */
	private static final long ANNOUNCEMENTS_WAIT_MS = 20_000;

	/** Pause before a failed announcement is retried, in ms. */
	private static final long ANNOUNCE_RETRY_MS = 700;

	private final EventLoop loop;

	private final String name;

	private final String dataCentre;

	private final InetSocketAddress address;

	private final PeerRegistry registry;

	private final LongSupplier elapsedNanos;

	private final KeyedFeed configurationFeed;

	private final LayerLoads loads;

	private final EngineSlowdowns slowdownFactors;

	private final EndpointFaults faults;

	private final EndpointLimits limits;

	private final RetryBudget budget;

	private final PeerTable table;

	private final KeyedFeed announcementsFeed = new KeyedFeed();

	private PeerSocket socket;

	/** Whether the store has acknowledged an announcement. */
	private boolean announced;

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
	 * @param loads loads of the endpoints; own ones are sent, those of peers are received
	 * @param slowdownFactors slowdown factors of the engines; sent and received
	 * @param faults faults of the endpoints; sent and received
	 * @param limits limits that endpoints stated; sent and received
	 * @param budget retry budget that the daemons share
	 */
	public PeerExchange(EventLoop loop, String name, String dataCentre, InetSocketAddress address,
			PeerRegistry registry, LongSupplier elapsedNanos, KeyedFeed configurationFeed, LayerLoads loads,
			EngineSlowdowns slowdownFactors, EndpointFaults faults, EndpointLimits limits, RetryBudget budget) {
		this.loop = loop;
		this.name = name;
		this.dataCentre = dataCentre;
		this.address = address;
		this.registry = registry;
		this.elapsedNanos = elapsedNanos;
		this.configurationFeed = configurationFeed;
		this.loads = loads;
		this.slowdownFactors = slowdownFactors;
		this.faults = faults;
		this.limits = limits;
		this.budget = budget;
		this.table = new PeerTable(dataCentre);
	}

	/** Opens the socket and starts the exchange. Must be called on the event loop. */
	public void start() {
		this.socket = new PeerSocket(this.loop, this.address, this::onMessage);
		announce();
		new FeedReader(this.loop, "announcements", this.registry.announcements(), this.announcementsFeed,
				this.elapsedNanos, this::onAnnouncements, ANNOUNCEMENTS_WAIT_MS, PeerSchedule.LOCAL_INTERVAL_MS)
			.start();
		this.loop.schedule(this::sendRound, PeerSchedule.LOCAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void announce() {
		this.announced = false;
		this.registry.announce(this.name, this.address, (done) -> {
			this.announced = done;
			if (!done) {
				this.loop.schedule(this::announce, ANNOUNCE_RETRY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void onAnnouncements(KeyedFeed.Update update) {
		if (this.announced && update.snapshotKeys().filter((keys) -> !keys.contains(this.name)).isPresent()) {
			// The store has gone back to a copy from before the announcement.
			announce();
		}
		for (KeyedRecord keyed : update.records()) {
			if (!keyed.key().equals(this.name)) {
				keyed.value()
					.flatMap(this.registry::decodeAddress)
					.ifPresent((announced) -> this.table.recordAddress(keyed.key(), announced));
			}
		}
	}

	private void onMessage(PeerMessage message, InetSocketAddress from) {
		if (message.sender().equals(this.name)) {
			return;
		}
		long now = this.elapsedNanos.getAsLong();
		this.table.onMessage(message, from, now)
			.ifPresent((confirmation) -> this.configurationFeed.onPeerConfirmation(message.configurationEra(),
					confirmation.offset(), confirmation.confirmedAtNanos()));
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
		this.budget.setDaemonCount(this.table.countBudgetSharers(now));
		List<PeerTable.Target> targets = this.table.targets();
		boolean wasSilent = now - this.lastRoundNanos > PeerSchedule.silenceLimitNanos(this.table.countLocalPeers());
		this.lastRoundNanos = now;
		this.limits.setPeers(this.table.livePeers(now), wasSilent, PeerSchedule.settlingNanos(targets.size()),
				System.nanoTime());
		long age = this.configurationFeed.ageNanos(now);
		List<String> unreachable = new ArrayList<>(this.faults.locallyObservedFaults(System.nanoTime()));
		boolean includeRemote = now - this.nextRemoteRoundNanos >= 0;
		if (includeRemote) {
			this.loads.markReported();
			this.nextRemoteRoundNanos = now
					+ TimeUnit.MILLISECONDS.toNanos(PeerSchedule.remoteIntervalMs(targets.size()));
		}
		byte[] datagram = new PeerMessage(this.name, this.dataCentre, now, 0, this.configurationFeed.nextOffset(),
				(age == Long.MAX_VALUE) ? -1 : age, this.loads.ownLoads(),
				this.slowdownFactors.ownSlowEngines(System.nanoTime()), unreachable,
				this.limits.ownStatements(System.nanoTime()), this.configurationFeed.era())
			.encode();
		for (PeerTable.Target target : targets) {
			if (includeRemote || target.dataCentre().equals(this.dataCentre)) {
				this.socket.send(PeerMessage.withEcho(datagram, target.echoNanos()), target.address());
			}
		}
		this.loop.schedule(this::sendRound, PeerSchedule.localIntervalMs(this.table.countLocalPeers()),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the other daemons.
	 * @return the live table
	 */
	public PeerTable table() {
		return this.table;
	}

}
