package org.comfreyslip.entry;

/**
 * A record of the store is not what its key promises. Other writers may cause it; the
 * record is skipped.
 */
public class UnreadableRecordException extends RuntimeException {

	/** Code of the error. */
	public static final String CODE = "CS-8102";

	/**
	 * Creates the error.
	 * @param message what is wrong, and what is expected
	 */
	public UnreadableRecordException(String message) {
		super(CODE + " " + message);
	}

	/**
	 * Creates the error.
	 * @param message what is wrong, and what is expected
	 * @param cause the cause
	 */
	public UnreadableRecordException(String message, Throwable cause) {
		super(CODE + " " + message, cause);
	}

}
