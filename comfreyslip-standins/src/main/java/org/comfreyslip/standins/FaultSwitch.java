package org.comfreyslip.standins;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The fault in force on one stand-in. Thread-safe.
 */
public final class FaultSwitch {

	private final SplittableRandom random;

	private final LongSupplier nanoClock;

	private FaultOrder order = FaultOrder.of(FaultMode.NONE);

	private long startNanos;

	private int hits;

	private long silentEpoch;

	/**
	 * Creates a switch without a fault.
	 * @param seed seed of the draws for probabilities
	 * @param nanoClock monotonic clock
	 */
	public FaultSwitch(long seed, LongSupplier nanoClock) {
		this.random = new SplittableRandom(seed);
		this.nanoClock = nanoClock;
	}

	/**
	 * Puts a fault in force in place of the previous one. Connections that went silent
	 * stay silent.
	 * @param next the fault
	 */
	public synchronized void set(FaultOrder next) {
		this.order = next;
		this.startNanos = this.nanoClock.getAsLong();
		this.hits = 0;
		if (next.mode() == FaultMode.SILENT) {
			this.silentEpoch++;
		}
	}

	/**
	 * Draws the fault of one request.
	 * @param method the HTTP method of the request
	 * @return the fault; never {@link FaultMode#SILENT}, which is a matter of the
	 * connection
	 */
	public synchronized FaultMode draw(String method) {
		FaultMode mode = current();
		if (mode == FaultMode.NONE || mode == FaultMode.SILENT || mode == FaultMode.LEAVING) {
			return FaultMode.NONE;
		}
		if (this.order.method() != null && !this.order.method().equals(method)) {
			return FaultMode.NONE;
		}
		if (this.order.probability() > 0 && this.random.nextDouble() >= this.order.probability()) {
			return FaultMode.NONE;
		}
		if (this.order.times() > 0 && this.hits >= this.order.times()) {
			return FaultMode.NONE;
		}
		this.hits++;
		return mode;
	}

	/**
	 * Returns whether the stand-in reports that it is leaving.
	 * @return {@code true} while {@link FaultMode#LEAVING} is in force
	 */
	public synchronized boolean isLeaving() {
		return current() == FaultMode.LEAVING;
	}

	/**
	 * Returns the delay of the fault in force.
	 * @return milliseconds
	 */
	public synchronized long delayMillis() {
		return this.order.delayMillis();
	}

	/**
	 * Returns the number of silent faults so far. A connection first used under a lower
	 * number is silent.
	 * @return the count
	 */
	public synchronized long silentEpoch() {
		return this.silentEpoch;
	}

	private FaultMode current() {
		long age = this.nanoClock.getAsLong() - this.startNanos;
		boolean over = this.order.forMillis() > 0 && age >= TimeUnit.MILLISECONDS.toNanos(this.order.forMillis());
		return (over) ? FaultMode.NONE : this.order.mode();
	}

}
