package org.comfreyslip.daemon.answer;

/**
 * Handle to a started answer.
 */
public final class AnswerHandle {

	private Runnable canceller;

	private boolean cancelled;

	/**
	 * Ends the answer because the caller left. Repeating it has no further effect.
	 */
	public void callerGone() {
		Runnable attached;
		synchronized (this) {
			this.cancelled = true;
			attached = this.canceller;
		}
		if (attached != null) {
			attached.run();
		}
	}

	void attach(Runnable newCanceller) {
		boolean late;
		synchronized (this) {
			this.canceller = newCanceller;
			late = this.cancelled;
		}
		if (late) {
			newCanceller.run();
		}
	}

}
