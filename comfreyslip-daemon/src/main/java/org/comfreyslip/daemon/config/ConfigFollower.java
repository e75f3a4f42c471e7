package org.comfreyslip.daemon.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.log.LogPage;
import org.comfreyslip.clients.log.LogRecord;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigBootstrap;
import org.comfreyslip.coordination.config.ConfigFold;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVerdict;
import org.comfreyslip.coordination.config.LoggedConfigRecord;
import org.comfreyslip.daemon.DaemonEvent;

/**
 * Follows the log stream {@code config} with long-poll reads and puts each accepted
 * version into force.
 */
public final class ConfigFollower {

	/** The log stream that holds the configuration. */
	public static final String STREAM = "config";

	private static final int MAX_RECORDS_PER_READ = 100;

	private static final long LONG_POLL_MILLIS = 5_000;

	private static final long RETRY_MILLIS = 500;

	private final LogClient log;

	private final ConfigHolder holder;

	private final Set<String> peers;

	private final PeerConfigSource peerSource;

	private final ScheduledExecutorService timer;

	private final BooleanSupplier readsLog;

	private final Consumer<ConfigVerdict> verdictListener;

	/** Peers whose state is being fetched. */
	private final Set<String> fetchingPeers = ConcurrentHashMap.newKeySet();

	private ConfigBootstrap bootstrap;

	private ConfigFold fold;

	private volatile boolean logAvailable = true;

	private boolean firstReadStarted;

	private volatile boolean stopped;

	/**
	 * Creates a follower; it is idle until {@link #start()}.
	 * @param log the client of the log
	 * @param holder where accepted versions are put into force
	 * @param peers the names of the peers in the daemon's settings
	 * @param peerSource fetches the configuration state of a peer
	 * @param timer schedules read retries
	 * @param readsLog whether this daemon reads the log once it has a configuration; a
	 * daemon that does not receives newer versions through {@link #onPeerState}
	 * @param verdictListener is called with the decision on each record that is read
	 * after the first configuration state was reached
	 */
	public ConfigFollower(LogClient log, ConfigHolder holder, Set<String> peers, PeerConfigSource peerSource,
			ScheduledExecutorService timer, BooleanSupplier readsLog, Consumer<ConfigVerdict> verdictListener) {
		this.log = log;
		this.holder = holder;
		this.peers = peers;
		this.peerSource = peerSource;
		this.timer = timer;
		this.readsLog = readsLog;
		this.verdictListener = verdictListener;
		this.bootstrap = new ConfigBootstrap(ConfigSnapshot.INITIAL, peers);
	}

	/**
	 * Starts to read the log. Returns at once.
	 */
	public void start() {
		readNext();
	}

	/**
	 * Stops reading: a read in progress is completed, and no further one is started.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Adopts the configuration state of a peer if it is newer than that of this daemon.
	 * Does nothing before this daemon has a state.
	 * @param snapshot the peer's state
	 */
	public synchronized void onPeerState(ConfigSnapshot snapshot) {
		if (this.fold != null && this.fold.adopt(snapshot)) {
			this.holder.accept(this.fold.snapshot(), "");
		}
	}

	/**
	 * Returns whether the last read of the log succeeded.
	 * @return {@code false} if it failed; {@code true} before the first read
	 */
	public boolean isLogAvailable() {
		return this.logAvailable;
	}

	/**
	 * Returns the configuration state that this daemon has reached.
	 * @return the state, or empty before there is one
	 */
	public synchronized Optional<ConfigSnapshot> state() {
		return Optional.ofNullable(this.fold).map(ConfigFold::snapshot);
	}

	private void readNext() {
		if (this.stopped) {
			return;
		}
		if (isFollowing() && !this.readsLog.getAsBoolean()) {
			this.timer.schedule(this::readNext, RETRY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		long from = nextOffset();
		// The first read does not wait for records, so that an empty stream is detected
		// at once.
		long waitMillis = this.firstReadStarted ? LONG_POLL_MILLIS : 0;
		this.firstReadStarted = true;
		this.log.read(STREAM, from, MAX_RECORDS_PER_READ, waitMillis).whenComplete((page, ex) -> {
			if (ex != null) {
				onReadFailed(ex);
				return;
			}
			onPage(from, page);
			readNext();
		});
	}

	private synchronized long nextOffset() {
		return (this.fold != null) ? this.fold.snapshot().foldedUpTo() + 1 : this.bootstrap.nextOffset();
	}

	private void onReadFailed(Throwable ex) {
		if (this.logAvailable) {
			DaemonEvent.CONFIG_LOG_UNAVAILABLE.log(ex.getMessage());
			this.logAvailable = false;
		}
		fetchFromPeers();
		this.timer.schedule(this::readNext, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized void onPage(long from, LogPage page) {
		this.logAvailable = true;
		if (this.fold != null && page.head() > from) {
			// While this daemon could not read, the log dropped records that it had not
			// read. It bootstraps again from the state that it has reached.
			this.bootstrap = new ConfigBootstrap(this.fold.snapshot(), this.peers);
			this.fold = null;
			return;
		}
		List<LoggedConfigRecord> records = decode(page);
		if (this.fold == null) {
			logVerdicts(this.bootstrap.onLogRead(page.head(), page.tail(), records));
			this.bootstrap.fold().ifPresent(this::startFollowing);
			if (this.fold == null && page.records().isEmpty()) {
				fetchFromPeers();
			}
			return;
		}
		for (LoggedConfigRecord logged : records) {
			if (logged.offset() > this.fold.snapshot().foldedUpTo()) {
				apply(logged);
			}
		}
	}

	private void apply(LoggedConfigRecord logged) {
		ConfigVerdict verdict = logged.record().isPresent() ? this.fold.apply(logged.offset(), logged.record().get())
				: this.fold.skip(logged.offset());
		logVerdicts(List.of(verdict));
		this.verdictListener.accept(verdict);
		String author = (verdict instanceof ConfigVerdict.Accepted accepted) ? accepted.author() : "";
		this.holder.accept(this.fold.snapshot(), author);
	}

	private void startFollowing(ConfigFold reachedFold) {
		this.fold = reachedFold;
		this.holder.accept(reachedFold.snapshot(), "");
	}

	private void fetchFromPeers() {
		if (isFollowing()) {
			return;
		}
		for (String peer : this.peers) {
			if (this.fetchingPeers.add(peer)) {
				this.peerSource.fetch(peer)
					.thenAccept((snapshot) -> onPeerFetched(peer, snapshot))
					.whenComplete((done, ex) -> this.fetchingPeers.remove(peer));
			}
		}
	}

	private synchronized boolean isFollowing() {
		return this.fold != null;
	}

	private synchronized void onPeerFetched(String peer, Optional<ConfigSnapshot> snapshot) {
		if (this.fold != null) {
			return;
		}
		this.bootstrap.onPeerState(peer, snapshot);
		if (this.bootstrap.tryStartFromPeers()) {
			startFollowing(this.bootstrap.fold().orElseThrow());
			DaemonEvent.CONFIG_FROM_PEERS.log(this.fold.snapshot().version().number());
		}
	}

	private static List<LoggedConfigRecord> decode(LogPage page) {
		List<LoggedConfigRecord> records = new ArrayList<>();
		for (LogRecord entry : page.records()) {
			records.add(new LoggedConfigRecord(entry.offset(), ConfigRecordCodec.decode(entry.data())));
		}
		return records;
	}

	private static void logVerdicts(List<ConfigVerdict> verdicts) {
		for (ConfigVerdict verdict : verdicts) {
			if (verdict instanceof ConfigVerdict.Refused refused) {
				DaemonEvent.CONFIG_REFUSED.log(refused.proposalId(), refused.winner().version().number());
			}
			else if (verdict instanceof ConfigVerdict.Skipped skipped) {
				DaemonEvent.FOREIGN_RECORD.log(STREAM, skipped.reason());
			}
		}
	}

}
