package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;

/**
 * Intervals at which a topic is read, in ms.
 *
 * @param waitMs how long a read waits at the store for records if each daemon reads for
 * itself
 * @param sharedWaitMs longest wait of a read if other daemons follow; a connection on
 * which nothing arrives any more is noticed only after it
 * @param pauseMs pause after a read that returned records, so that records that arrive
 * one by one are read together
 * @param maxFollowerAgeMs age of the knowledge from which a follower reads for itself
 * @param confirmsAge whether reads confirm the age of the knowledge for followers;
 * otherwise it is enough for them that the reader waits at the store
 */
public record ReadIntervals(long waitMs, long sharedWaitMs, long pauseMs, long maxFollowerAgeMs, boolean confirmsAge) {

	/**
	 * Shortest wait of a read for others, in ms; bounds the calls where messages to them
	 * take long.
	 */
	private static final long MIN_SHARED_WAIT_MS = 200;

	/** Time for the responses to two reads, in ms. */
	private static final long RESPONSE_MS = 300;

	// A read confirms the knowledge only as of the time when it was sent, so that the
	// knowledge of the reader becomes up to two waits old. That of its followers must not
	// reach their limit.
	long waitMs(StoreReading reading) {
		if (reading.followers() == 0) {
			return this.waitMs;
		}
		if (!this.confirmsAge) {
			return this.sharedWaitMs;
		}
		long wait = (this.maxFollowerAgeMs - reading.followerLagMs()) / 2;
		return Math.max(MIN_SHARED_WAIT_MS, Math.min(this.sharedWaitMs, wait));
	}

	/**
	 * Returns the age up to which the knowledge of a daemon that reads the topic counts
	 * as current for its followers.
	 * @param reading whether the daemon reads
	 * @return the age between two reads without losses, in ns; 0 if followers need the
	 * age at the store
	 */
	public long currentNanos(StoreReading reading) {
		return (reading.reads() && !this.confirmsAge)
				? TimeUnit.MILLISECONDS.toNanos(2 * waitMs(reading) + this.pauseMs + RESPONSE_MS) : 0;
	}

}
