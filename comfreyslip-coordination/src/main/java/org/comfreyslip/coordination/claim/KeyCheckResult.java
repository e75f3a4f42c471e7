package org.comfreyslip.coordination.claim;

import org.comfreyslip.coordination.ErrorCode;

/**
 * The result of checking whether an idempotency key can be claimed.
 */
public enum KeyCheckResult {

	/** The key can be claimed. */
	ACCEPTED(null, ""),

	/** The key contains no creation time, so its age is not known. */
	NOT_VERSION_7(ErrorCode.BAD_REQUEST, "the idempotency key is not a UUID of version 7"),

	/** An earlier claim on the key may have left the log. */
	TOO_OLD(ErrorCode.KEY_EXPIRED, "the idempotency key is older than the window"),

	/** The key would be accepted for longer than the window. */
	IN_FUTURE(ErrorCode.KEY_EXPIRED, "the idempotency key is too far in the future");

	private final ErrorCode code;

	private final String message;

	KeyCheckResult(ErrorCode code, String message) {
		this.code = code;
		this.message = message;
	}

	/**
	 * Returns the error code for a key that is not accepted.
	 * @return the code, or {@code null} for an accepted key
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns the error message for a key that is not accepted.
	 * @return the message, empty for an accepted key
	 */
	public String message() {
		return this.message;
	}

}
