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

	private static final int PAGE_RECORDS = 100;

	private static final long POLL_MILLIS = 5_000;

	private static final long RETRY_MILLIS = 500;

	private final LogClient log;

	private final ConfigHolder holder;

	private final Set<String> peers;

	private final PeerConfigSource peerSource;

	private final ScheduledExecutorService timer;

	private final BooleanSupplier logReader;

	private final Consumer<ConfigVerdict> verdicts;

	private final Set<String> asked = ConcurrentHashMap.newKeySet();

	private ConfigBootstrap bootstrap;

	private ConfigFold fold;

	private volatile boolean logAvailable = true;

	private boolean started;

	private volatile boolean stopped;

	/**
	 * Creates a follower.
	 * @param log the log
	 * @param holder where accepted versions are put into force
	 * @param peers the names of the peers in the daemon's settings
	 * @param peerSource asks a peer for its configuration
	 * @param timer runs retries
	 * @param logReader whether this daemon reads the log once it has a configuration; the
	 * others move to newer versions by {@link #onPeerState}
	 * @param verdicts hears of the decisions on records that are read after the start
	 */
	public ConfigFollower(LogClient log, ConfigHolder holder, Set<String> peers, PeerConfigSource peerSource,
			ScheduledExecutorService timer, BooleanSupplier logReader, Consumer<ConfigVerdict> verdicts) {
		this.log = log;
		this.holder = holder;
		this.peers = peers;
		this.peerSource = peerSource;
		this.timer = timer;
		this.logReader = logReader;
		this.verdicts = verdicts;
		this.bootstrap = new ConfigBootstrap(ConfigSnapshot.INITIAL, peers);
	}

	/**
	 * Starts to read. Returns at once.
	 */
	public void start() {
		readNext();
	}

	/**
	 * Ends after the read in progress.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Takes a newer state that a peer offers.
	 * @param snapshot the peer's state
	 */
	public synchronized void onPeerState(ConfigSnapshot snapshot) {
		if (this.fold != null && this.fold.adopt(snapshot)) {
			this.holder.accept(this.fold.snapshot(), "");
		}
	}

	/**
	 * Returns whether the last read of the log succeeded.
	 * @return {@code false} while the log is down; {@code true} before the first read
	 */
	public boolean isLogAvailable() {
		return this.logAvailable;
	}

	/**
	 * Returns the state that this daemon has reached.
	 * @return the state, or empty before there is one
	 */
	public synchronized Optional<ConfigSnapshot> state() {
		return Optional.ofNullable(this.fold).map(ConfigFold::snapshot);
	}

	private void readNext() {
		if (this.stopped) {
			return;
		}
		if (isFollowing() && !this.logReader.getAsBoolean()) {
			this.timer.schedule(this::readNext, RETRY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		long from = nextOffset();
		// The first read does not wait, so that an empty stream is known as such at once.
		long wait = this.started ? POLL_MILLIS : 0;
		this.started = true;
		this.log.read(STREAM, from, PAGE_RECORDS, wait).whenComplete((page, ex) -> {
			if (ex != null) {
				onUnavailable(ex);
				return;
			}
			onPage(from, page);
			readNext();
		});
	}

	private synchronized long nextOffset() {
		return (this.fold != null) ? this.fold.snapshot().foldedUpTo() + 1 : this.bootstrap.nextOffset();
	}

	private void onUnavailable(Throwable ex) {
		if (this.logAvailable) {
			DaemonEvent.CONFIG_LOG_UNAVAILABLE.log(ex.getMessage());
			this.logAvailable = false;
		}
		askPeers();
		this.timer.schedule(this::readNext, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized void onPage(long from, LogPage page) {
		this.logAvailable = true;
		if (this.fold != null && page.head() > from) {
			// The log was trimmed past this daemon while it could not read.
			this.bootstrap = new ConfigBootstrap(this.fold.snapshot(), this.peers);
			this.fold = null;
			return;
		}
		List<LoggedConfigRecord> records = decode(page);
		if (this.fold == null) {
			report(this.bootstrap.onLogRead(page.head(), page.tail(), records));
			this.bootstrap.fold().ifPresent(this::reached);
			if (this.fold == null && page.records().isEmpty()) {
				askPeers();
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
		report(List.of(verdict));
		this.verdicts.accept(verdict);
		String author = (verdict instanceof ConfigVerdict.Accepted accepted) ? accepted.author() : "";
		this.holder.accept(this.fold.snapshot(), author);
	}

	private void reached(ConfigFold reached) {
		this.fold = reached;
		this.holder.accept(reached.snapshot(), "");
	}

	private void askPeers() {
		if (isFollowing()) {
			return;
		}
		for (String peer : this.peers) {
			if (this.asked.add(peer)) {
				this.peerSource.fetch(peer)
					.thenAccept((snapshot) -> onPeer(peer, snapshot))
					.whenComplete((done, ex) -> this.asked.remove(peer));
			}
		}
	}

	private synchronized boolean isFollowing() {
		return this.fold != null;
	}

	private synchronized void onPeer(String peer, Optional<ConfigSnapshot> snapshot) {
		if (this.fold != null) {
			return;
		}
		this.bootstrap.onPeerState(peer, snapshot);
		if (this.bootstrap.tryStartFromPeers()) {
			reached(this.bootstrap.fold().orElseThrow());
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

	private static void report(List<ConfigVerdict> verdicts) {
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
