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
 * Builds the configuration fold of a daemon that has no usable state. The log is used if
 * it can be read from its start or from a checkpoint on. Otherwise the daemon asks its
 * peers and takes the newest state once more than half of them have responded. A running
 * daemon that finds the log trimmed beyond its own position bootstraps again with its
 * current state as the minimum, so that it never returns to an older one. Not
 * thread-safe.
 */
public final class ConfigBootstrap {

	private static final long NOTHING_READ = -1;

	private final ConfigSnapshot minimumState;

	private final Set<String> peers;

	private final Map<String, Optional<ConfigSnapshot>> peerStates = new HashMap<>();

	private final List<LoggedConfigRecord> unfoldedRecords = new ArrayList<>();

	private long firstOffsetRead = NOTHING_READ;

	private long nextOffset;

	private long tailAtFirstRead;

	private ConfigFold candidateFold;

	private boolean complete;

	/**
	 * Creates a bootstrap.
	 * @param minimumState the oldest state to accept: the state that the process has,
	 * {@link ConfigSnapshot#INITIAL} at its start
	 * @param peers the names of all peers in the daemon's settings, without itself
	 */
	public ConfigBootstrap(ConfigSnapshot minimumState, Set<String> peers) {
		this.minimumState = minimumState;
		this.peers = Set.copyOf(peers);
	}

	/**
	 * Returns the fold once the bootstrap is complete.
	 * @return the fold, empty while the daemon has to report itself as not ready
	 */
	public Optional<ConfigFold> fold() {
		return this.complete ? Optional.of(this.candidateFold) : Optional.empty();
	}

	/**
	 * Returns the log offset to read next.
	 * @return the offset; 0 before the first read, for which a trimmed log returns
	 * records from its head on
	 */
	public long nextOffset() {
		return (this.candidateFold != null) ? this.candidateFold.snapshot().foldedUpTo() + 1 : this.nextOffset;
	}

	/**
	 * Processes the result of a log read that began at {@link #nextOffset()}.
	 * @param head the log's oldest retained offset at the time of the read
	 * @param tail the offset of the log's next record at the time of the read
	 * @param records the records read, without gaps
	 * @return the verdicts on checkpoints and on the folded records; empty if the
	 * bootstrap was complete already
	 */
	public List<ConfigVerdict> onLogRead(long head, long tail, List<LoggedConfigRecord> records) {
		if (this.complete) {
			return List.of();
		}
		if (this.firstOffsetRead == NOTHING_READ || head > nextOffset()) {
			restartReading(head, tail);
		}
		for (LoggedConfigRecord logged : records) {
			this.unfoldedRecords.add(logged);
			this.nextOffset = logged.offset() + 1;
		}
		return tryStartFromLog();
	}

	/**
	 * Records a peer's response. A response without an intact state also counts towards
	 * the number of responses that {@link #tryStartFromPeers} requires.
	 * @param peer the peer's name; a name that is not in the settings is ignored
	 * @param snapshot the peer's state, empty if it has none
	 */
	public void onPeerState(String peer, Optional<ConfigSnapshot> snapshot) {
		if (!this.complete && this.peers.contains(peer)) {
			this.peerStates.put(peer, snapshot.filter(ConfigSnapshot::isIntact));
		}
	}

	/**
	 * Starts from the newest state of the peers, or of the log as far as it was folded,
	 * if more than half of the peers responded. To be called when the log is down or
	 * holds no sufficient checkpoint.
	 * @return whether the bootstrap is complete
	 */
	public boolean tryStartFromPeers() {
		if (!this.complete && this.peerStates.size() * 2 > this.peers.size()) {
			newestKnownState().ifPresent(this::completeWith);
		}
		return this.complete;
	}

	private void restartReading(long head, long tail) {
		this.candidateFold = null;
		this.unfoldedRecords.clear();
		this.firstOffsetRead = Math.max(head, 0);
		this.nextOffset = this.firstOffsetRead;
		this.tailAtFirstRead = tail;
	}

	private List<ConfigVerdict> tryStartFromLog() {
		List<ConfigVerdict> verdicts = new ArrayList<>();
		if (this.candidateFold == null && this.minimumState.canCatchUpFrom(this.firstOffsetRead)) {
			startFrom(this.minimumState);
		}
		if (this.candidateFold == null) {
			this.unfoldedRecords.forEach((logged) -> intactCheckpoint(logged)
				.ifPresent((snapshot) -> verdicts.add(decideCheckpoint(snapshot))));
		}
		if (this.candidateFold != null) {
			verdicts.addAll(replay());
		}
		return verdicts;
	}

	private Optional<ConfigSnapshot> intactCheckpoint(LoggedConfigRecord logged) {
		return logged.record()
			.filter((record) -> record instanceof Checkpoint && record.isIntact(logged.offset()))
			.map((record) -> ((Checkpoint) record).snapshot());
	}

	private ConfigVerdict decideCheckpoint(ConfigSnapshot snapshot) {
		if (this.candidateFold != null) {
			return new ConfigVerdict.CheckpointIgnored(false);
		}
		if (!snapshot.canCatchUpFrom(this.firstOffsetRead)) {
			return new ConfigVerdict.CheckpointInsufficient(snapshot.foldedUpTo(), this.firstOffsetRead);
		}
		startFrom(snapshot);
		return new ConfigVerdict.CheckpointAdopted(snapshot.version());
	}

	private List<ConfigVerdict> replay() {
		List<ConfigVerdict> verdicts = new ArrayList<>();
		for (LoggedConfigRecord logged : this.unfoldedRecords) {
			if (logged.offset() > this.candidateFold.snapshot().foldedUpTo()) {
				verdicts.add(logged.applyTo(this.candidateFold));
			}
		}
		this.unfoldedRecords.clear();
		this.complete = this.candidateFold.snapshot().foldedUpTo() + 1 >= this.tailAtFirstRead;
		return verdicts;
	}

	private Optional<ConfigSnapshot> newestKnownState() {
		Optional<ConfigSnapshot> own = Optional.ofNullable(this.candidateFold).map(ConfigFold::snapshot);
		return Stream.concat(own.stream(), this.peerStates.values().stream().flatMap(Optional::stream))
			.filter((snapshot) -> snapshot.foldedUpTo() >= this.minimumState.foldedUpTo())
			.max(Comparator.comparingLong(ConfigSnapshot::foldedUpTo));
	}

	private void startFrom(ConfigSnapshot snapshot) {
		snapshot.assertNotBehind(this.minimumState);
		this.candidateFold = new ConfigFold(snapshot);
	}

	private void completeWith(ConfigSnapshot snapshot) {
		startFrom(snapshot);
		this.complete = true;
	}

}
