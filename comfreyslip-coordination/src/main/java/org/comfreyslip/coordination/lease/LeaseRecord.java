package org.comfreyslip.coordination.lease;

/**
 * Record of the log stream {@code leases}.
 */
public sealed interface LeaseRecord {

	/** Fencing token and renewal offset of a lease that nobody has held. */
	long NONE = -1;

	/**
	 * Returns which lease the record is about.
	 * @return the lease's name
	 */
	String name();

	/**
	 * Request for the lease. It is accepted if no other record of the lease was accepted
	 * after the state that the contender saw. The log offset of the accepted request is
	 * the fencing token.
	 *
	 * @param name the lease's name
	 * @param holder the contender's name
	 * @param nonce a value unique to this request, the same when it is appended again
	 * @param previousFence the fencing token that the contender saw last, {@link #NONE}
	 * if none
	 * @param lastRenewal log offset of the last accepted record that the contender saw,
	 * {@link #NONE} if none
	 */
	record Acquire(String name, String holder, String nonce, long previousFence,
			long lastRenewal) implements LeaseRecord {
	}

	/**
	 * Renewal by the holder.
	 *
	 * @param name the lease's name
	 * @param holder the holder's name
	 * @param fence the holder's fencing token
	 * @param sequence number of the renewal in the holder's process, by which the holder
	 * looks up its send time
	 */
	record Renew(String name, String holder, long fence, long sequence) implements LeaseRecord {
	}

	/**
	 * Resignation of the holder, so that others need not wait for the lease time.
	 *
	 * @param name the lease's name
	 * @param holder the holder's name
	 * @param fence the holder's fencing token
	 */
	record Resign(String name, String holder, long fence) implements LeaseRecord {
	}

}
