package org.comfreyslip.settings;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds credential digests that more than one account or operator lists.
 */
final class CredentialCheck {

	private final CheckedText text;

	private final FaultList faults;

	private final Map<String, String> ownerByDigest = new HashMap<>();

	CredentialCheck(CheckedText text, FaultList faults) {
		this.text = text;
		this.faults = faults;
	}

	void run() {
		this.text.sections(OperatorTextSchema.ACCOUNT).forEach(this::checkDigests);
		this.text.sections(OperatorTextSchema.OPERATOR).forEach(this::checkDigests);
	}

	private void checkDigests(CheckedSection section) {
		for (String digest : section.list("credential-sha256")) {
			String owner = this.ownerByDigest.putIfAbsent(digest, section.header());
			if (owner != null) {
				this.faults.add(section.header(), "credential-sha256", "the digest of [" + owner + "], " + digest,
						"digests that no other account or operator has", "give each account and operator its own key");
			}
		}
	}

}
