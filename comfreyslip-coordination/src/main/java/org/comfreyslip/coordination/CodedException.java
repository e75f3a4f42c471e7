package org.comfreyslip.coordination;

/**
 * Unchecked exception with a stable code and a remedy.
 */
public class CodedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private static final long NO_RETRY_MILLIS = -1;

	private final ErrorCode code;

	private final boolean notRun;

	private final long retryAfterMillis;

	/**
	 * Creates an error that makes no statement on whether the request ran.
	 * @param code the stable code
	 * @param message what was found
	 */
	public CodedException(ErrorCode code, String message) {
		this(code, message, false, NO_RETRY_MILLIS, null);
	}

	/**
	 * Creates an error that makes no statement on whether the request ran.
	 * @param code the stable code
	 * @param message what was found
	 * @param cause the underlying failure
	 */
	public CodedException(ErrorCode code, String message, Throwable cause) {
		this(code, message, false, NO_RETRY_MILLIS, cause);
	}

	/**
	 * Creates an error. Only {@link CallBoundary} may state that a request was not run.
	 * @param code the stable code
	 * @param message what was found
	 * @param notRun whether the request is known not to have run
	 * @param retryAfterMillis when to come back, in milliseconds, or a negative value for
	 * no advice
	 * @param cause the underlying failure, or {@code null}
	 */
	CodedException(ErrorCode code, String message, boolean notRun, long retryAfterMillis, Throwable cause) {
		super(message, cause);
		this.code = code;
		this.notRun = notRun;
		this.retryAfterMillis = retryAfterMillis;
	}

	/**
	 * Returns the stable code.
	 * @return the code
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns whether the request is known not to have run.
	 * @return {@code true} if no byte of the call left the daemon
	 */
	public boolean isNotRun() {
		return this.notRun;
	}

	/**
	 * Returns when to come back.
	 * @return milliseconds, or a negative value for no advice
	 */
	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

}
