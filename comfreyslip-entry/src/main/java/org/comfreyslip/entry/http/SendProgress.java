package org.comfreyslip.entry.http;

import java.util.concurrent.TimeUnit;

/**
 * How far an endpoint has come with a request that was sent to it.
 */
final class SendProgress {

	/**
	 * Time after the beginning of an answer in which a crash may still be due to the
	 * request, in ns.
	 */
	private static final long PROVEN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private final long sentAtNanos;

	private boolean headReceived;

	/** Whether the first bytes of the answer's body, or its first event, arrived. */
	private boolean begun;

	/** Steady time in ns at which the answer began; valid only if it has begun. */
	private long begunAtNanos;

	/**
	 * Creates the progress of a send that has just started.
	 * @param nowNanos the current steady time in ns
	 */
	SendProgress(long nowNanos) {
		this.sentAtNanos = nowNanos;
	}

	/** Records the response head. */
	void onHead() {
		this.headReceived = true;
	}

	/**
	 * Records a part of the answer.
	 * @param nowNanos the current steady time in ns
	 */
	void onAnswer(long nowNanos) {
		if (!this.begun) {
			this.begun = true;
			this.begunAtNanos = nowNanos;
		}
	}

	/**
	 * Tells whether the answer has begun.
	 * @return whether a part of it has arrived
	 */
	boolean hasBegun() {
		return this.begun;
	}

	/**
	 * Tells whether the endpoint goes on with the answer, so that the request does not
	 * crash it.
	 * @param nowNanos the current steady time in ns
	 * @return whether the answer has begun some time ago
	 */
	boolean isProven(long nowNanos) {
		return this.begun && nowNanos - this.begunAtNanos >= PROVEN_NANOS;
	}

	/**
	 * Describes the progress for the log.
	 * @param nowNanos the current steady time in ns
	 * @return the time since the send, whether the head has arrived, and the time since
	 * the answer began, each time in ms
	 */
	String describe(long nowNanos) {
		return "sent_ms=" + TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sentAtNanos) + " head=" + this.headReceived
				+ " begun_ms=" + ((this.begun) ? TimeUnit.NANOSECONDS.toMillis(nowNanos - this.begunAtNanos) : "none");
	}

}
