package org.comfreyslip.coordination.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;

/**
 * Leads a daemon without usable state to a configuration fold. The log is used when it is
 * readable from its start or from a checkpoint on. Otherwise the peers are asked; the
 * newest state of more than half of them is taken. A running daemon that finds that the
 * log was trimmed beyond its own position starts again with its state as the floor, below
 * which it never goes. Not thread-safe.
 */
public final class ConfigBootstrap {

	private static final long NOTHING_READ = -1;

	private final ConfigSnapshot floor;

	private final Set<String> peers;

	private final Map<String, Optional<ConfigSnapshot>> answers = new HashMap<>();

	private final List<LoggedConfigRecord> buffer = new ArrayList<>();

	private long firstRead = NOTHING_READ;

	private long nextOffset;

	private long tailAtStart;

	private ConfigFold candidate;

	private boolean reached;

	/**
	 * Creates a bootstrap.
	 * @param floor the state that the process has, {@link ConfigSnapshot#INITIAL} at its
	 * start
	 * @param peers the names of all peers in the daemon's settings, without itself
	 */
	public ConfigBootstrap(ConfigSnapshot floor, Set<String> peers) {
		this.floor = floor;
		this.peers = Set.copyOf(peers);
	}

	/**
	 * Returns the fold once a configuration was reached.
	 * @return the fold, empty while the daemon has to stay unready
	 */
	public Optional<ConfigFold> fold() {
		return this.reached ? Optional.of(this.candidate) : Optional.empty();
	}

	/**
	 * Returns the log offset to read next.
	 * @return the offset; before the first read, 0, which a log that was trimmed answers
	 * from its head
	 */
	public long nextOffset() {
		return (this.candidate != null) ? this.candidate.snapshot().foldedUpTo() + 1 : this.nextOffset;
	}

	/**
	 * Takes the answer of a log read that began at {@link #nextOffset()}.
	 * @param head the log's oldest retained offset at the time of the read
	 * @param tail the offset of the log's next record at the time of the read
	 * @param records the records read, without gaps
	 * @return the verdicts on checkpoints, and on the records that were folded
	 */
	public List<ConfigVerdict> onRead(long head, long tail, List<LoggedConfigRecord> records) {
		if (this.reached) {
			return List.of();
		}
		if (this.firstRead == NOTHING_READ || head > nextOffset()) {
			restartAt(head, tail);
		}
		for (LoggedConfigRecord logged : records) {
			this.buffer.add(logged);
			this.nextOffset = logged.offset() + 1;
		}
		return tryLog();
	}

	/**
	 * Takes a peer's answer. An answer without state counts as an answer.
	 * @param peer the peer's name
	 * @param snapshot the peer's state
	 */
	public void onPeer(String peer, Optional<ConfigSnapshot> snapshot) {
		if (!this.reached && this.peers.contains(peer)) {
			this.answers.put(peer, snapshot.filter(ConfigSnapshot::isIntact));
		}
	}

	/**
	 * Starts from the peers' newest state if more than half of the peers answered. Called
	 * when the log is down or holds no sufficient checkpoint.
	 * @return whether a configuration was reached
	 */
	public boolean tryPeers() {
		if (!this.reached && this.answers.size() * 2 > this.peers.size()) {
			newestKnown().ifPresent(this::reach);
		}
		return this.reached;
	}

	private void restartAt(long head, long tail) {
		this.candidate = null;
		this.buffer.clear();
		this.firstRead = Math.max(head, 0);
		this.nextOffset = this.firstRead;
		this.tailAtStart = tail;
	}

	private List<ConfigVerdict> tryLog() {
		List<ConfigVerdict> verdicts = new ArrayList<>();
		if (this.candidate == null && this.floor.reaches(this.firstRead)) {
			startFrom(this.floor);
		}
		if (this.candidate == null) {
			this.buffer.forEach(
					(logged) -> intactCheckpoint(logged).ifPresent((snapshot) -> verdicts.add(consider(snapshot))));
		}
		if (this.candidate != null) {
			verdicts.addAll(replay());
		}
		return verdicts;
	}

	private Optional<ConfigSnapshot> intactCheckpoint(LoggedConfigRecord logged) {
		return logged.record()
			.filter((record) -> record instanceof Checkpoint && record.isIntact(logged.offset()))
			.map((record) -> ((Checkpoint) record).snapshot());
	}

	private ConfigVerdict consider(ConfigSnapshot snapshot) {
		if (this.candidate != null) {
			return new ConfigVerdict.CheckpointIgnored(false);
		}
		if (!snapshot.reaches(this.firstRead)) {
			return new ConfigVerdict.CheckpointInsufficient(snapshot.foldedUpTo(), this.firstRead);
		}
		startFrom(snapshot);
		return new ConfigVerdict.CheckpointAdopted(snapshot.version());
	}

	private List<ConfigVerdict> replay() {
		List<ConfigVerdict> verdicts = new ArrayList<>();
		for (LoggedConfigRecord logged : this.buffer) {
			if (logged.offset() > this.candidate.snapshot().foldedUpTo()) {
				verdicts.add(logged.applyTo(this.candidate));
			}
		}
		this.buffer.clear();
		this.reached = this.candidate.snapshot().foldedUpTo() + 1 >= this.tailAtStart;
		return verdicts;
	}

	private Optional<ConfigSnapshot> newestKnown() {
		Optional<ConfigSnapshot> own = Optional.ofNullable(this.candidate).map(ConfigFold::snapshot);
		return Stream.concat(own.stream(), this.answers.values().stream().flatMap(Optional::stream))
			.filter((snapshot) -> snapshot.foldedUpTo() >= this.floor.foldedUpTo())
			.max(Comparator.comparingLong(ConfigSnapshot::foldedUpTo));
	}

	private void startFrom(ConfigSnapshot snapshot) {
		snapshot.assertNotBehind(this.floor);
		this.candidate = new ConfigFold(snapshot);
	}

	private void reach(ConfigSnapshot snapshot) {
		startFrom(snapshot);
		this.reached = true;
	}

}
