package org.comfreyslip.daemon;

import java.util.concurrent.CompletionException;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Failures of asynchronous calls.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Removes the wrappers that dependent futures add.
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
	 * Returns a failure as a coded error.
	 * @param ex the failure
	 * @param code the code for failures without one
	 * @return the error
	 */
	public static CodedException coded(Throwable ex, ErrorCode code) {
		Throwable cause = unwrap(ex);
		return (cause instanceof CodedException coded) ? coded
				: new CodedException(code, String.valueOf(cause.getMessage()), cause);
	}

}
