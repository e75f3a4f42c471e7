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
 * an offset depends on the records up to it only, so all daemons agree. The bounded
 * memory of earlier proposals affects only how a refusal is described. Not thread-safe.
 */
public final class ConfigFold {

	/** About two days at 2,000 changes a day. */
	private static final int REMEMBERED_PROPOSALS = 4096;

	private final Map<String, Boolean> decided = new BoundedMap<>(REMEMBERED_PROPOSALS);

	private final Map<Long, ConfigWinner> winnersByBase = new BoundedMap<>(REMEMBERED_PROPOSALS);

	private final Map<Reason, Long> skipped = new EnumMap<>(Reason.class);

	private ConfigSnapshot state;

	/**
	 * Creates a fold that continues from a state.
	 * @param state the state, {@link ConfigSnapshot#INITIAL} for the start of the log
	 */
	public ConfigFold(ConfigSnapshot state) {
		Invariant.check(state.isIntact(), "the configuration snapshot of version " + state.version() + " is damaged");
		this.state = state;
	}

	/**
	 * Returns the state after the last record.
	 * @return the state
	 */
	public ConfigSnapshot snapshot() {
		return this.state;
	}

	/**
	 * Returns how many records were skipped.
	 * @param reason the reason to count
	 * @return the count
	 */
	public long skipped(Reason reason) {
		return this.skipped.getOrDefault(reason, 0L);
	}

	/**
	 * Applies the next record.
	 * @param offset the record's offset, exactly one after the last one folded
	 * @param record the record
	 * @return the verdict
	 */
	public ConfigVerdict apply(long offset, ConfigRecord record) {
		checkNext(offset);
		ConfigVerdict verdict = decide(offset, record);
		advance(offset);
		return verdict;
	}

	/**
	 * Passes over an offset whose bytes are no record of this program.
	 * @param offset the offset, exactly one after the last one folded
	 * @return the verdict
	 */
	public ConfigVerdict skip(long offset) {
		checkNext(offset);
		ConfigVerdict verdict = countSkipped(Reason.FOREIGN);
		advance(offset);
		return verdict;
	}

	/**
	 * Moves to a newer state of a peer. An older or equally old one has no effect.
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

	private void checkNext(long offset) {
		Invariant.check(offset == this.state.foldedUpTo() + 1,
				"configuration offset " + offset + " does not follow " + this.state.foldedUpTo());
	}

	private ConfigVerdict decide(long offset, ConfigRecord record) {
		if (!record.isIntact(offset)) {
			return countSkipped(Reason.DAMAGED);
		}
		if (record instanceof Checkpoint checkpoint) {
			return new ConfigVerdict.CheckpointIgnored(isContradicting(checkpoint.snapshot()));
		}
		return decideProposal(offset, (Proposal) record);
	}

	private boolean isContradicting(ConfigSnapshot checkpoint) {
		ConfigVersion claimed = checkpoint.version();
		ConfigVersion version = this.state.version();
		return claimed.number() > version.number()
				|| (claimed.number() == version.number() && !claimed.digest().equals(version.digest()));
	}

	private ConfigVerdict decideProposal(long offset, Proposal proposal) {
		if (this.decided.containsKey(proposal.id())) {
			return new ConfigVerdict.Duplicate(proposal.id());
		}
		ConfigVersion current = this.state.version();
		if (proposal.base().number() > current.number()) {
			return countSkipped(Reason.BASE_AHEAD);
		}
		this.decided.put(proposal.id(), Boolean.TRUE);
		if (!current.isBase(proposal.base())) {
			return new ConfigVerdict.Refused(proposal.id(), winner(proposal.base()));
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

	private ConfigWinner winner(ConfigVersion base) {
		ConfigWinner known = this.winnersByBase.get(base.number());
		return (known != null) ? known : new ConfigWinner(this.state.version(), "", "");
	}

	private ConfigVerdict countSkipped(Reason reason) {
		this.skipped.merge(reason, 1L, Long::sum);
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
	 * Map that forgets its oldest entry when it is full.
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
