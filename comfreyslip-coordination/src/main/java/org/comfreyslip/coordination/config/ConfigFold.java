package org.comfreyslip.coordination.config;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;
import org.comfreyslip.coordination.config.ConfigVerdict.Skipped.Reason;

/**
 * Folds the log stream {@code config} into the configuration in effect. The state after
 * an offset depends only on the records up to that offset, so that all daemons agree on
 * it. The fold remembers a bounded number of earlier proposals; a forgotten one changes
 * only how a refusal is described. Not thread-safe.
 */
public final class ConfigFold {

	/** Proposals of about two days, at 2,000 configuration changes a day. */
	private static final int REMEMBERED_PROPOSALS = 4096;

	private final Map<String, Boolean> decidedProposalIds = new BoundedMap<>(REMEMBERED_PROPOSALS);

	private final Map<Long, ConfigWinner> winnersByBase = new BoundedMap<>(REMEMBERED_PROPOSALS);

	private final Map<Reason, Long> skippedCounts = new EnumMap<>(Reason.class);

	private ConfigSnapshot state;

	/**
	 * Creates a fold that continues from a state.
	 * @param state the state, {@link ConfigSnapshot#INITIAL} for the start of the log
	 * @throws org.comfreyslip.coordination.CodedException with
	 * {@link org.comfreyslip.coordination.ErrorCode#INVARIANT_VIOLATED} if the state is
	 * not intact
	 */
	public ConfigFold(ConfigSnapshot state) {
		Invariant.check(state.isIntact(), "the configuration snapshot of version " + state.version() + " is damaged");
		this.state = state;
	}

	/**
	 * Returns the state after the last folded record.
	 * @return the snapshot, to be stored as a checkpoint or sent to a peer
	 */
	public ConfigSnapshot snapshot() {
		return this.state;
	}

	/**
	 * Returns how many records this fold skipped for a reason.
	 * @param reason why the records were skipped
	 * @return the number of records since this fold was created
	 */
	public long skippedCount(Reason reason) {
		return this.skippedCounts.getOrDefault(reason, 0L);
	}

	/**
	 * Applies the next record.
	 * @param offset the record's log offset, exactly one after the last one folded
	 * @param record the decoded record at that offset
	 * @return the decision about the record
	 */
	public ConfigVerdict apply(long offset, ConfigRecord record) {
		requireNextOffset(offset);
		ConfigVerdict verdict = decide(offset, record);
		advance(offset);
		return verdict;
	}

	/**
	 * Skips an offset whose bytes are not a record of this stream.
	 * @param offset the offset, exactly one after the last one folded
	 * @return the verdict, with {@link Reason#FOREIGN}
	 */
	public ConfigVerdict skip(long offset) {
		requireNextOffset(offset);
		ConfigVerdict verdict = countSkipped(Reason.FOREIGN);
		advance(offset);
		return verdict;
	}

	/**
	 * Replaces the state by a newer one of a peer. An older, equally old or damaged state
	 * has no effect.
	 * @param newer the peer's state
	 * @return whether the state changed
	 */
	public boolean adopt(ConfigSnapshot newer) {
		if (!newer.isIntact() || newer.foldedUpTo() <= this.state.foldedUpTo()) {
			return false;
		}
		replace(newer);
		return true;
	}

	private void requireNextOffset(long offset) {
		Invariant.check(offset == this.state.foldedUpTo() + 1,
				"configuration offset " + offset + " does not follow " + this.state.foldedUpTo());
	}

	private ConfigVerdict decide(long offset, ConfigRecord record) {
		if (!record.isIntact(offset)) {
			return countSkipped(Reason.DAMAGED);
		}
		if (record instanceof Checkpoint checkpoint) {
			return new ConfigVerdict.CheckpointIgnored(contradictsState(checkpoint.snapshot()));
		}
		return decideProposal(offset, (Proposal) record);
	}

	private boolean contradictsState(ConfigSnapshot checkpoint) {
		ConfigVersion claimed = checkpoint.version();
		ConfigVersion version = this.state.version();
		return claimed.number() > version.number()
				|| (claimed.number() == version.number() && !claimed.digest().equals(version.digest()));
	}

	private ConfigVerdict decideProposal(long offset, Proposal proposal) {
		if (this.decidedProposalIds.containsKey(proposal.id())) {
			return new ConfigVerdict.Duplicate(proposal.id());
		}
		ConfigVersion current = this.state.version();
		if (proposal.base().number() > current.number()) {
			return countSkipped(Reason.BASE_AHEAD);
		}
		this.decidedProposalIds.put(proposal.id(), Boolean.TRUE);
		if (!current.matchesBase(proposal.base())) {
			return new ConfigVerdict.Refused(proposal.id(), findWinner(proposal.base()));
		}
		return accept(offset, proposal);
	}

	private ConfigVerdict accept(long offset, Proposal proposal) {
		long base = this.state.version().number();
		ConfigVersion version = new ConfigVersion(base + 1, offset, proposal.textDigest());
		ConfigWinner previous = this.winnersByBase.put(base,
				new ConfigWinner(version, proposal.author(), proposal.id()));
		Invariant.check(previous == null, "configuration version " + base + " was the base of two acceptances");
		replace(new ConfigSnapshot(version, proposal.text(), offset));
		return new ConfigVerdict.Accepted(proposal.id(), proposal.author(), version);
	}

	private ConfigWinner findWinner(ConfigVersion base) {
		ConfigWinner known = this.winnersByBase.get(base.number());
		return (known != null) ? known : new ConfigWinner(this.state.version(), "", "");
	}

	private ConfigVerdict countSkipped(Reason reason) {
		this.skippedCounts.merge(reason, 1L, Long::sum);
		return new ConfigVerdict.Skipped(reason);
	}

	private void advance(long offset) {
		this.state = new ConfigSnapshot(this.state.version(), this.state.text(), offset);
	}

	private void replace(ConfigSnapshot next) {
		next.assertNotBehind(this.state);
		this.state = next;
	}

	/**
	 * Map that evicts its oldest entry when it exceeds its capacity.
	 *
	 * @param <K> the key type
	 * @param <V> the value type
	 */
	private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

		private static final long serialVersionUID = 1L;

		private final int capacity;

		BoundedMap(int capacity) {
			this.capacity = capacity;
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
			return size() > this.capacity;
		}

	}

}
