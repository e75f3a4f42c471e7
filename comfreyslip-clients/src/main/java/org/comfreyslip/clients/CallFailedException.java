package org.comfreyslip.clients;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Thrown when a call ends without a complete response.
 */
public final class CallFailedException extends CodedException {

	private static final long serialVersionUID = 1L;

	private final boolean sent;

	/**
	 * Creates the error.
	 * @param message method, address and path of the call and what failed
	 * @param sent whether a byte of the call may have been sent
	 * @param cause the underlying failure
	 */
	public CallFailedException(String message, boolean sent, Throwable cause) {
		super(ErrorCode.ENDPOINT_FAILED, message, cause);
		this.sent = sent;
	}

	/**
	 * Returns whether the other side may have seen the call.
	 * @return {@code false} only if no byte of the request was written
	 */
	public boolean mayHaveBeenSent() {
		return this.sent;
	}

}
