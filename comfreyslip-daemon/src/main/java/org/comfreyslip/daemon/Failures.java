package org.comfreyslip.daemon;

import java.util.concurrent.CompletionException;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Unwraps failures of asynchronous calls and turns them into coded errors.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Removes the {@link CompletionException}s in which dependent futures wrap a failure.
	 * @param ex the failure of a future
	 * @return the underlying failure
	 */
	public static Throwable unwrap(Throwable ex) {
		Throwable cause = ex;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		return cause;
	}

	/**
	 * Returns the coded error in a failure, or creates one.
	 * @param ex the failure, possibly wrapped by a future
	 * @param code the code to use if the failure has none
	 * @return the error, with the failure as its cause if it was created here
	 */
	public static CodedException toCodedException(Throwable ex, ErrorCode code) {
		Throwable cause = unwrap(ex);
		return (cause instanceof CodedException coded) ? coded
				: new CodedException(code, String.valueOf(cause.getMessage()), cause);
	}

}
