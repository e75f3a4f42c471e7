package org.comfreyslip.entry.http;

import java.util.concurrent.TimeUnit;

/**
 * Whether a stream that has started waits for a path, and when the next attempt to find
 * one is due.
 */
final class Suspension {

	/**
	 * Time between two attempts to find a path for a suspended stream, in ms: a few steps
	 * of a placement.
	 */
	private static final long RESUME_INTERVAL_MS = 100;

	private boolean active;

	/** Steady time in ns of the suspension or of the last attempt to resume. */
	private long lastAttemptNanos;

	/**
	 * Suspends the stream.
	 * @param nowNanos the current steady time in ns
	 */
	void begin(long nowNanos) {
		this.active = true;
		this.lastAttemptNanos = nowNanos;
	}

	/** Ends the suspension, if there is one. */
	void end() {
		this.active = false;
	}

	boolean isActive() {
		return this.active;
	}

	/**
	 * Records an attempt to resume the stream.
	 * @param nowNanos the current steady time in ns
	 */
	void onAttempt(long nowNanos) {
		this.lastAttemptNanos = nowNanos;
	}

	/**
	 * Tells whether the next attempt to resume the stream is due.
	 * @param nowNanos the current steady time in ns
	 * @return whether the interval since the last attempt has passed
	 */
	boolean isAttemptDue(long nowNanos) {
		return nowNanos - this.lastAttemptNanos >= TimeUnit.MILLISECONDS.toNanos(RESUME_INTERVAL_MS);
	}

}
