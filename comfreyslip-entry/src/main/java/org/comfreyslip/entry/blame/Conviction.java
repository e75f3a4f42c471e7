package org.comfreyslip.entry.blame;

import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A cause of crashes. Requests that have all its traits are refused until its period
 * ends. Then single requests are let through on trial: an answer ends the conviction, a
 * crash renews it for a longer period.
 *
 * @param traits the traits which a request must have all to be refused; not empty
 * @param sinceNanos steady time in ns at which the period began
 * @param periodNanos length of the period, in ns
 */
public record Conviction(Set<String> traits, long sinceNanos, long periodNanos) {

	/** Length of the first period, in ns. */
	static final long FIRST_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(15);

	/** Factor by which each period is longer than the one before. */
	private static final int PERIOD_FACTOR = 4;

	/** Longest period, in ns. */
	private static final long MAX_PERIOD_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Time after the period in which requests are let through on trial, in ns. A cause
	 * that no request has shown again by then is forgotten.
	 */
	static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * Returns a cause that has just been found.
	 * @param traits the traits of the requests that it applies to
	 * @param nowNanos the current steady time in ns
	 * @return the conviction for its first period
	 */
	static Conviction first(Set<String> traits, long nowNanos) {
		return new Conviction(traits, nowNanos, FIRST_PERIOD_NANOS);
	}

	/**
	 * Returns the conviction after a crash during the trial.
	 * @param nowNanos the current steady time in ns
	 * @return the conviction for a longer period
	 */
	Conviction renewed(long nowNanos) {
		return new Conviction(this.traits, nowNanos, Math.min(MAX_PERIOD_NANOS, PERIOD_FACTOR * this.periodNanos));
	}

	/**
	 * Returns the conviction for requests with fewer traits.
	 * @param remaining the remaining traits; not empty
	 * @return the conviction for the same period
	 */
	Conviction narrowedTo(Set<String> remaining) {
		return new Conviction(remaining, this.sinceNanos, this.periodNanos);
	}

	/**
	 * Tells whether requests on trial are let through.
	 * @param nowNanos the current steady time in ns
	 * @return whether the period is over
	 */
	boolean isOnTrial(long nowNanos) {
		return remainingNanos(nowNanos) <= 0;
	}

	/**
	 * Returns the time until the end of the period.
	 * @param nowNanos the current steady time in ns
	 * @return the time in ns; not above 0 once it has ended
	 */
	long remainingNanos(long nowNanos) {
		return this.sinceNanos + this.periodNanos - nowNanos;
	}

	/**
	 * Tells whether the conviction is to be forgotten.
	 * @param nowNanos the current steady time in ns
	 * @return whether the time of the trial is over
	 */
	boolean isOver(long nowNanos) {
		return remainingNanos(nowNanos) <= -TRIAL_NANOS;
	}

}
