package org.comfreyslip.coordination.lease;

/**
 * Record of the log stream {@code leases}.
 */
public sealed interface LeaseRecord {

	/** Fencing number and renewal offset of a lease that nobody has held. */
	long NONE = -1;

	/**
	 * Returns the lease's name.
	 * @return the name
	 */
	String name();

	/**
	 * Request for the lease. It is accepted if no other record of the lease was accepted
	 * after the state that the contender saw. Its log offset becomes the fencing number.
	 *
	 * @param name the lease's name
	 * @param holder the contender's name
	 * @param nonce a value unique to this request, kept when it is appended again
	 * @param previousFence the fencing number seen
	 * @param lastRenewal the offset of the last renewal seen
	 */
	record Acquire(String name, String holder, String nonce, long previousFence,
			long lastRenewal) implements LeaseRecord {
	}

	/**
	 * Renewal by the holder.
	 *
	 * @param name the lease's name
	 * @param holder the holder's name
	 * @param fence the holder's fencing number
	 * @param sequence number of the renewal, by which the holder finds its send time
	 */
	record Renew(String name, String holder, long fence, long sequence) implements LeaseRecord {
	}

	/**
	 * The holder gives the lease up, so that others need not wait for the lease time.
	 *
	 * @param name the lease's name
	 * @param holder the holder's name
	 * @param fence the holder's fencing number
	 */
	record Resign(String name, String holder, long fence) implements LeaseRecord {
	}

}
