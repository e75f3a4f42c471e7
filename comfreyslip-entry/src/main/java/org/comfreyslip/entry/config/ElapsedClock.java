package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Clock of elapsed time that never runs slower than real time, unless the time of day is
 * set back while the host is suspended. The steady clock stops while the host is
 * suspended and the time of day may jump, so the larger of the two differences counts. A
 * forward jump of the time of day makes ages too large, which costs one confirming read.
 */
public final class ElapsedClock {

	/**
	 * Lead of the time of day over the steady clock that counts as a suspension, in ns.
	 * It is more than the clocks drift apart in a second.
	 */
	private static final long SUSPENSION_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/**
	 * Time after which a new comparison of the clocks begins, in ns; bounds the drift
	 * that accumulates between them.
	 */
	private static final long MAX_SPAN_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final LongSupplier steadyNanos;

	private final LongSupplier wallMillis;

	private long spanStartSteadyNanos;

	private long spanStartWallMillis;

	private long spanStartElapsedNanos;

	/**
	 * Creates a clock that starts at 0.
	 * @param steadyNanos the steady clock, in ns
	 * @param wallMillis the time of day, in Unix ms
	 */
	public ElapsedClock(LongSupplier steadyNanos, LongSupplier wallMillis) {
		this.steadyNanos = steadyNanos;
		this.wallMillis = wallMillis;
		this.spanStartSteadyNanos = steadyNanos.getAsLong();
		this.spanStartWallMillis = wallMillis.getAsLong();
	}

	/**
	 * Returns the elapsed time since the clock was created.
	 * @return the time in ns
	 */
	public long nanos() {
		long steadyDelta = this.steadyNanos.getAsLong() - this.spanStartSteadyNanos;
		long wall = this.wallMillis.getAsLong();
		long wallDelta = TimeUnit.MILLISECONDS.toNanos(wall - this.spanStartWallMillis);
		boolean suspended = wallDelta - steadyDelta > SUSPENSION_THRESHOLD_NANOS;
		long elapsed = this.spanStartElapsedNanos + ((suspended) ? wallDelta : steadyDelta);
		if (suspended || steadyDelta > MAX_SPAN_NANOS || wallDelta < 0) {
			this.spanStartElapsedNanos = elapsed;
			this.spanStartSteadyNanos += steadyDelta;
			this.spanStartWallMillis = wall;
		}
		return elapsed;
	}

}
