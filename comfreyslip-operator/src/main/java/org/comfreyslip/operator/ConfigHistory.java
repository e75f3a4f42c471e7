package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Folds the configuration stream. A proposal is accepted if its base is the version in
 * force at its offset and its digest fits its text; the first record of an id counts.
 * Texts of former versions are dropped, except one that a caller asked to keep.
 */
final class ConfigHistory {

	private final long keptNumber;

	private final List<ProposalDecision> decisions = new ArrayList<>();

	private final Set<String> ids = new HashSet<>();

	private long number;

	private String digest = "";

	private String text = "";

	private long offset = -1;

	private String keptText;

	private long nextOffset;

	/**
	 * Creates an empty history.
	 * @param keptNumber the version whose text is kept, or a negative number
	 */
	ConfigHistory(long keptNumber) {
		this.keptNumber = keptNumber;
	}

	void adopt(CheckpointEntry checkpoint) {
		inForce(checkpoint.number(), checkpoint.offset(), checkpoint.digest(), checkpoint.text());
		this.nextOffset = checkpoint.foldedUpTo() + 1;
	}

	void apply(long recordOffset, Optional<ConfigEntry> entry) {
		this.nextOffset = recordOffset + 1;
		if (entry.orElse(null) instanceof ProposalEntry proposal && this.ids.add(proposal.id())) {
			decide(recordOffset, proposal);
		}
	}

	private void decide(long recordOffset, ProposalEntry proposal) {
		boolean accepted = proposal.baseNumber() == this.number && proposal.baseDigest().equals(this.digest)
				&& proposal.digest().equals(Sha256.hex(proposal.text()));
		if (accepted) {
			inForce(this.number + 1, recordOffset, proposal.digest(), proposal.text());
		}
		this.decisions.add(new ProposalDecision(proposal.id(), proposal.author(), recordOffset, accepted, this.number,
				proposal.digest()));
	}

	private void inForce(long newNumber, long newOffset, String newDigest, String newText) {
		this.number = newNumber;
		this.offset = newOffset;
		this.digest = newDigest;
		this.text = newText;
		if (newNumber == this.keptNumber) {
			this.keptText = newText;
		}
	}

	long number() {
		return this.number;
	}

	long offset() {
		return this.offset;
	}

	String digest() {
		return this.digest;
	}

	String text() {
		return this.text;
	}

	long nextOffset() {
		return this.nextOffset;
	}

	Optional<String> keptText() {
		return Optional.ofNullable(this.keptText);
	}

	List<ProposalDecision> decisions() {
		return List.copyOf(this.decisions);
	}

	Optional<ProposalDecision> findDecision(String id) {
		return this.decisions.stream().filter((decision) -> decision.id().equals(id)).findFirst();
	}

	Optional<ProposalDecision> findVersion(long wanted) {
		return this.decisions.stream()
			.filter((decision) -> decision.accepted() && decision.number() == wanted)
			.findFirst();
	}

}
