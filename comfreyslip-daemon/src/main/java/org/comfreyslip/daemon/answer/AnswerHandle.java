package org.comfreyslip.daemon.answer;

/**
 * Cancels a started answer. Thread-safe.
 */
public final class AnswerHandle {

	/** Cancels the run; {@code null} until the answer is planned. */
	private Runnable canceller;

	private boolean cancelled;

	/**
	 * Cancels the answer because the client closed its connection. May be called before
	 * the answer is planned, and more than once; further calls have no effect.
	 */
	public void cancel() {
		Runnable attached;
		synchronized (this) {
			this.cancelled = true;
			attached = this.canceller;
		}
		if (attached != null) {
			attached.run();
		}
	}

	void attachCanceller(Runnable newCanceller) {
		boolean alreadyCancelled;
		synchronized (this) {
			this.canceller = newCanceller;
			alreadyCancelled = this.cancelled;
		}
		if (alreadyCancelled) {
			newCanceller.run();
		}
	}

}
