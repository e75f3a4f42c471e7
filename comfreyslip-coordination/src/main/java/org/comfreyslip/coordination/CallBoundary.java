package org.comfreyslip.coordination;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The boundary of one request between "not run" and "may have run". It is the only place
 * that creates errors which state that a request was not run.
 * <p>
 * A call asks {@link #tryOpen()} before its first byte leaves. A refusal asks
 * {@link #notRun(ErrorCode, String, long)}, which closes the boundary for good: after it,
 * no byte can leave. The two exclude each other atomically, so a paused thread cannot
 * send a call whose caller was told that it was not run.
 */
public final class CallBoundary {

	private enum State {

		UNDECIDED, OPEN, CLOSED

	}

	private final AtomicReference<State> state = new AtomicReference<>(State.UNDECIDED);

	/**
	 * Asks for permission to send the first byte or, when already open, further bytes.
	 * @return {@code false} if the caller was told that the request was not run
	 */
	public boolean tryOpen() {
		State previous = this.state.compareAndExchange(State.UNDECIDED, State.OPEN);
		return previous != State.CLOSED;
	}

	/**
	 * Returns whether a byte may have left.
	 * @return {@code true} once {@link #tryOpen()} has succeeded
	 */
	public boolean isOpen() {
		return this.state.get() == State.OPEN;
	}

	/**
	 * Closes the boundary and creates the error that states that the request was not run.
	 * @param code the stable code
	 * @param message what was found
	 * @param retryAfterMillis when to come back, in milliseconds, or a negative value
	 * @return the error, with {@link CodedException#isNotRun()} set
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if a byte may have
	 * left
	 */
	public CodedException notRun(ErrorCode code, String message, long retryAfterMillis) {
		State previous = this.state.compareAndExchange(State.UNDECIDED, State.CLOSED);
		if (previous == State.OPEN) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					"refused to state 'not run' (" + code + ": " + message + ") after the call was sent");
		}
		return new CodedException(code, message, true, retryAfterMillis, null);
	}

	/**
	 * Creates an error for a request that may have run, or, if nothing was sent, one that
	 * states that it was not run.
	 * @param code the stable code
	 * @param message what was found
	 * @param retryAfterMillis when to come back, in milliseconds, or a negative value
	 * @return the error
	 */
	public CodedException failure(ErrorCode code, String message, long retryAfterMillis) {
		State previous = this.state.compareAndExchange(State.UNDECIDED, State.CLOSED);
		return new CodedException(code, message, previous != State.OPEN, retryAfterMillis, null);
	}

}
