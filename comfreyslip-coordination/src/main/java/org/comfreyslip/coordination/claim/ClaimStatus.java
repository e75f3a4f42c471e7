package org.comfreyslip.coordination.claim;

/**
 * The state of a key at an offset of its claim stream.
 */
public enum ClaimStatus {

	/** No claim is in force. */
	FREE,

	/** A claim is in force and no outcome is recorded. */
	CLAIMED,

	/** An outcome is recorded. */
	DONE

}
