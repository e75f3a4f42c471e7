package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Elapsed time that does not run slower than real time unless the time of day steps back
 * while the machine sleeps. The steady clock stops during a suspension and the time of
 * day may jump, so the larger of both differences counts. A jump forward makes ages too
 * large, which costs one confirming read.
 */
public final class ElapsedClock {

	/**
	 * Difference between both clocks that counts as a suspension, in ns; above the drift
	 * of a second.
	 */
	private static final long JUMP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/**
	 * Longest span over which the clocks are compared, in ns; bounds the drift that adds
	 * up.
	 */
	private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final LongSupplier steadyNanos;

	private final LongSupplier wallMillis;

	private long spanSteady;

	private long spanWall;

	private long spanElapsed;

	/**
	 * Creates the clock.
	 * @param steadyNanos the steady clock, in ns
	 * @param wallMillis the time of day, in Unix ms
	 */
	public ElapsedClock(LongSupplier steadyNanos, LongSupplier wallMillis) {
		this.steadyNanos = steadyNanos;
		this.wallMillis = wallMillis;
		this.spanSteady = steadyNanos.getAsLong();
		this.spanWall = wallMillis.getAsLong();
	}

	/**
	 * Returns the elapsed time since the clock was created.
	 * @return the time in ns
	 */
	public long nanos() {
		long steadyStep = this.steadyNanos.getAsLong() - this.spanSteady;
		long wall = this.wallMillis.getAsLong();
		long wallStep = TimeUnit.MILLISECONDS.toNanos(wall - this.spanWall);
		boolean jumped = wallStep - steadyStep > JUMP_NANOS;
		long elapsed = this.spanElapsed + ((jumped) ? wallStep : steadyStep);
		if (jumped || steadyStep > SPAN_NANOS || wallStep < 0) {
			this.spanElapsed = elapsed;
			this.spanSteady += steadyStep;
			this.spanWall = wall;
		}
		return elapsed;
	}

}
