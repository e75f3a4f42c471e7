package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreyslip.coordination.config.ConfigFold;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVerdict;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.coordination.config.LoggedConfigRecord;

/**
 * Folds the configuration stream and remembers how each proposal was decided. Texts of
 * former versions are dropped, except one that a caller asked to keep.
 */
final class ConfigHistory {

	private final ConfigFold fold;

	private final long keptNumber;

	private final List<ProposalDecision> decisions = new ArrayList<>();

	private String keptText;

	/**
	 * Creates a history that continues from a state.
	 * @param start the state
	 * @param keptNumber the version whose text is kept, or a negative number
	 */
	ConfigHistory(ConfigSnapshot start, long keptNumber) {
		this.fold = new ConfigFold(start);
		this.keptNumber = keptNumber;
		keepText();
	}

	ConfigVerdict apply(LoggedConfigRecord logged) {
		if (logged.record().isEmpty()) {
			return this.fold.skip(logged.offset());
		}
		ConfigRecord entry = logged.record().get();
		ConfigVerdict verdict = this.fold.apply(logged.offset(), entry);
		if (entry instanceof Proposal proposal && !(verdict instanceof ConfigVerdict.Duplicate)) {
			this.decisions.add(decision(logged.offset(), proposal, verdict));
		}
		keepText();
		return verdict;
	}

	private ProposalDecision decision(long offset, Proposal proposal, ConfigVerdict verdict) {
		return new ProposalDecision(proposal.id(), proposal.author(), offset, verdict instanceof ConfigVerdict.Accepted,
				verdict instanceof ConfigVerdict.Skipped, number(), proposal.textDigest());
	}

	private void keepText() {
		if (number() == this.keptNumber) {
			this.keptText = text();
		}
	}

	ConfigVersion version() {
		return this.fold.snapshot().version();
	}

	long number() {
		return version().number();
	}

	String text() {
		return this.fold.snapshot().text();
	}

	long nextOffset() {
		return this.fold.snapshot().foldedUpTo() + 1;
	}

	Optional<String> keptText() {
		return Optional.ofNullable(this.keptText);
	}

	List<ProposalDecision> decisions() {
		return List.copyOf(this.decisions);
	}

	/**
	 * Finds the decision on a proposal. A skipped record decides nothing.
	 * @param id the proposal's id
	 * @return the decision, or empty
	 */
	Optional<ProposalDecision> findDecision(String id) {
		return this.decisions.stream()
			.filter((decision) -> !decision.skipped() && decision.id().equals(id))
			.findFirst();
	}

	Optional<ProposalDecision> findVersion(long wanted) {
		return this.decisions.stream()
			.filter((decision) -> decision.accepted() && decision.number() == wanted)
			.findFirst();
	}

}
