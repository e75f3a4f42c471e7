package org.comfreyslip.coordination;

/**
 * Unchecked exception with a stable {@link ErrorCode}, which has an HTTP status and a
 * remedy.
 */
public class CodedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private static final long NO_RETRY_MILLIS = -1;

	private final ErrorCode code;

	private final boolean notRun;

	private final long retryAfterMillis;

	/**
	 * Creates an error that does not state whether the request ran.
	 * @param code the stable code
	 * @param message the cause of the error
	 */
	public CodedException(ErrorCode code, String message) {
		this(code, message, false, NO_RETRY_MILLIS, null);
	}

	/**
	 * Creates an error that does not state whether the request ran.
	 * @param code the stable code
	 * @param message the cause of the error
	 * @param cause the underlying exception
	 */
	public CodedException(ErrorCode code, String message, Throwable cause) {
		this(code, message, false, NO_RETRY_MILLIS, cause);
	}

	/**
	 * Creates an error. Only {@link CallBoundary} may create errors that state that a
	 * request was not run.
	 * @param code the stable code
	 * @param message the cause of the error
	 * @param notRun whether the request is known not to have run
	 * @param retryAfterMillis the delay after which the client may retry, in
	 * milliseconds, or a negative value if no delay is given
	 * @param cause the underlying exception, or {@code null}
	 */
	CodedException(ErrorCode code, String message, boolean notRun, long retryAfterMillis, Throwable cause) {
		super(message, cause);
		this.code = code;
		this.notRun = notRun;
		this.retryAfterMillis = retryAfterMillis;
	}

	/**
	 * Returns the stable code.
	 * @return the code, which clients match on
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns whether the request is known not to have run.
	 * @return {@code true} if no byte of the call was or will be sent
	 */
	public boolean isNotRun() {
		return this.notRun;
	}

	/**
	 * Returns the delay after which the client may retry.
	 * @return milliseconds, or a negative value if no delay is given
	 */
	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

}
