package org.comfreyslip.entry.retry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The daemons that share the retry budget. A daemon counts from its announcement on, also
 * if its messages do not arrive here, because it may be serving all the same.
 */
public final class RetrySharers {

	/** Time without a sign of a daemon after which it no longer counts, in ns. */
	static final long SILENCE_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Longest time between two counts that counts as silence of the others, in ns. In a
	 * longer one this daemon did not run.
	 */
	private static final long LONGEST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** Running time in ns at the last sign of each other daemon, by its name. */
	private final Map<String, Long> lastSigns = new HashMap<>();

	/** Time in which this daemon ran, in ns. */
	private long runningNanos;

	private long updatedAtNanos;

	private boolean announcementsRead;

	/** Names of the daemons that have received a message of this process. */
	private final Set<String> informed = new HashSet<>();

	/** Time in ns from which all others are informed; empty before. */
	private OptionalLong allInformedNanos = OptionalLong.empty();

	/**
	 * Creates an empty list of daemons.
	 * @param nowNanos the current elapsed time in ns
	 */
	public RetrySharers(long nowNanos) {
		this.updatedAtNanos = nowNanos;
	}

	/**
	 * Records a sign of another daemon: its announcement or a message.
	 * @param name the daemon's name
	 * @param nowNanos the current elapsed time in ns
	 */
	public void onSign(String name, long nowNanos) {
		update(nowNanos);
		this.lastSigns.put(name, this.runningNanos);
	}

	/**
	 * Records a message of another daemon.
	 * @param name the daemon's name
	 * @param hasHeardThisProcess whether that daemon has received a message of this
	 * process
	 * @param nowNanos the current elapsed time in ns
	 */
	public void onMessage(String name, boolean hasHeardThisProcess, long nowNanos) {
		onSign(name, nowNanos);
		if (hasHeardThisProcess) {
			this.informed.add(name);
		}
	}

	/** Records that all announcements have been read. */
	public void onAnnouncementsRead() {
		this.announcementsRead = true;
	}

	/**
	 * Returns the number of daemons that share the budget, this one included.
	 * @param nowNanos the current elapsed time in ns
	 * @return the number; empty until the announcements have been read
	 */
	public OptionalInt count(long nowNanos) {
		update(nowNanos);
		this.lastSigns.values().removeIf((sign) -> this.runningNanos - sign >= SILENCE_NANOS);
		if (!this.announcementsRead) {
			return OptionalInt.empty();
		}
		if (this.allInformedNanos.isEmpty() && this.informed.containsAll(this.lastSigns.keySet())) {
			this.allInformedNanos = OptionalLong.of(nowNanos);
		}
		return OptionalInt.of(1 + this.lastSigns.size());
	}

	/**
	 * Returns from when on the others count this daemon. Daemons that start later find
	 * its announcement before they grant anything.
	 * @return the elapsed time in ns, as of the last {@link #count}; empty if some may
	 * not know it
	 */
	public OptionalLong allInformedNanos() {
		return this.allInformedNanos;
	}

	private void update(long nowNanos) {
		this.runningNanos += Math.min(LONGEST_PAUSE_NANOS, nowNanos - this.updatedAtNanos);
		this.updatedAtNanos = nowNanos;
	}

}
