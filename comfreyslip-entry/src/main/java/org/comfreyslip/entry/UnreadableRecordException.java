package org.comfreyslip.entry;

/**
 * Thrown if a value of the store or of the settings cannot be decoded. Records of the
 * store have other writers, so an unreadable record is skipped.
 */
public class UnreadableRecordException extends RuntimeException {

	/** Code with which every message begins. */
	public static final String CODE = "CS-8102";

	/**
	 * Creates an exception.
	 * @param message what is wrong and what is expected, without the code
	 */
	public UnreadableRecordException(String message) {
		super(CODE + " " + message);
	}

	/**
	 * Creates an exception.
	 * @param message what is wrong and what is expected, without the code
	 * @param cause the exception of the parser
	 */
	public UnreadableRecordException(String message, Throwable cause) {
		super(CODE + " " + message, cause);
	}

}
