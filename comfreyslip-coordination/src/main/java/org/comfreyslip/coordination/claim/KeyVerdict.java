package org.comfreyslip.coordination.claim;

import org.comfreyslip.coordination.ErrorCode;

/**
 * Whether an idempotency key can be used.
 */
public enum KeyVerdict {

	/** The key can be claimed. */
	ACCEPTED(null, ""),

	/** The key carries no time, so its age is not known. */
	NOT_VERSION_7(ErrorCode.BAD_REQUEST, "the idempotency key is not a UUID of version 7"),

	/** An earlier claim on the key may have left the log. */
	TOO_OLD(ErrorCode.KEY_EXPIRED, "the idempotency key is older than the window"),

	/** The key would stay valid for longer than the window. */
	IN_FUTURE(ErrorCode.KEY_EXPIRED, "the idempotency key is too far in the future");

	private final ErrorCode code;

	private final String message;

	KeyVerdict(ErrorCode code, String message) {
		this.code = code;
		this.message = message;
	}

	/**
	 * Returns the code of the refusal.
	 * @return the code, or {@code null} for an accepted key
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns the message of the refusal.
	 * @return the message, empty for an accepted key
	 */
	public String message() {
		return this.message;
	}

}
