package org.comfreyslip.coordination;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Separates the time in which a request is known not to have run from the time in which
 * it may have run. There is one object per request. Only this class creates errors that
 * state that a request was not run.
 * <p>
 * A call opens the boundary with {@link #tryOpen()} before its first byte is sent. An
 * error that states that the request was not run closes it permanently with
 * {@link #closeAsNotRun(ErrorCode, String, long)}; after that, no byte can be sent. Only
 * one of the two can succeed, so a paused thread cannot send a call whose client was told
 * that it was not run. Thread-safe.
 */
public final class CallBoundary {

	private enum State {

		UNDECIDED, OPEN, CLOSED

	}

	private final AtomicReference<State> state = new AtomicReference<>(State.UNDECIDED);

	/**
	 * Opens the boundary before the first byte is sent, unless it is closed. May be
	 * called again once it is open.
	 * @return {@code false} if the boundary is closed, because the client was told that
	 * the request was not run; then no byte may be sent
	 */
	public boolean tryOpen() {
		State previous = this.state.compareAndExchange(State.UNDECIDED, State.OPEN);
		return previous != State.CLOSED;
	}

	/**
	 * Returns whether a byte of the call may have been sent.
	 * @return {@code true} once {@link #tryOpen()} has succeeded
	 */
	public boolean isOpen() {
		return this.state.get() == State.OPEN;
	}

	/**
	 * Closes the boundary and creates the error that states that the request was not run.
	 * @param code the stable code
	 * @param message the cause of the error
	 * @param retryAfterMillis the delay after which the client may retry, in
	 * milliseconds, or a negative value if no delay is given
	 * @return the error, with {@link CodedException#isNotRun()} set
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the boundary is
	 * open
	 */
	public CodedException closeAsNotRun(ErrorCode code, String message, long retryAfterMillis) {
		State previous = this.state.compareAndExchange(State.UNDECIDED, State.CLOSED);
		if (previous == State.OPEN) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					"cannot report 'not run' (" + code + ": " + message + ") after the call was sent");
		}
		return new CodedException(code, message, true, retryAfterMillis, null);
	}

	/**
	 * Creates the error of a failed request. If nothing was sent, closes the boundary as
	 * well, so that nothing can be sent afterwards.
	 * @param code the stable code
	 * @param message the cause of the error
	 * @param retryAfterMillis the delay after which the client may retry, in
	 * milliseconds, or a negative value if no delay is given
	 * @return the error; {@link CodedException#isNotRun()} is {@code false} if the
	 * boundary is open, because the request may have run
	 */
	public CodedException failCall(ErrorCode code, String message, long retryAfterMillis) {
		State previous = this.state.compareAndExchange(State.UNDECIDED, State.CLOSED);
		return new CodedException(code, message, previous != State.OPEN, retryAfterMillis, null);
	}

}
