package org.comfreyslip.entry.http;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.ShutdownPhase;

/**
 * Whether the daemon stops, and since when.
 */
public final class Shutdown {

	private boolean requested;

	/** Steady time in ns of the stop signal; valid only after it. */
	private long requestedAtNanos;

	/**
	 * Records the stop signal.
	 * @param nowNanos the current steady time in ns
	 */
	public void request(long nowNanos) {
		this.requested = true;
		this.requestedAtNanos = nowNanos;
	}

	/**
	 * Tells whether the daemon stops.
	 * @return whether the stop signal has come
	 */
	public boolean isRequested() {
		return this.requested;
	}

	/**
	 * Returns the phase of the shutdown, which must have been requested.
	 * @param graceMs time from the stop signal until the process is killed, in ms
	 * @param nowNanos the current steady time in ns
	 * @return the phase
	 */
	public ShutdownPhase phase(long graceMs, long nowNanos) {
		return ShutdownPhase.at(sinceMs(nowNanos), graceMs);
	}

	/**
	 * Tells whether a request may be sent to its first endpoint.
	 * @param deadline time at which the request times out
	 * @param graceMs time from the stop signal until the process is killed, in ms
	 * @param nowNanos the current steady time in ns
	 * @return whether the daemon does not stop, or can wait for the response
	 */
	boolean allowsFirstSend(RequestDeadline deadline, long graceMs, long nowNanos) {
		return !this.requested
				|| ShutdownPhase.allowsFirstSend(sinceMs(nowNanos), deadline.remainingMs(nowNanos), graceMs);
	}

	private long sinceMs(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.requestedAtNanos);
	}

}
