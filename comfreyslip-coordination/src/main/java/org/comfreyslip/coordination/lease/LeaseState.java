package org.comfreyslip.coordination.lease;

/**
 * State of one lease after a log offset.
 *
 * @param holder the last holder, empty if there was none
 * @param nonce the nonce of the accepted request, empty if it was not read
 * @param fence the fencing number, {@link LeaseRecord#NONE} if there was no holder
 * @param lastRenewal the offset of the last accepted record, {@link LeaseRecord#NONE} if
 * there is none
 * @param resigned whether the holder gave the lease up
 * @param proven whether the state follows from the records read. A reader that starts
 * inside a trimmed log takes the first request that it sees as accepted, until a renewal
 * proves who holds the lease.
 */
public record LeaseState(String holder, String nonce, long fence, long lastRenewal, boolean resigned, boolean proven) {

	static LeaseState unheld(boolean proven) {
		return new LeaseState("", "", LeaseRecord.NONE, LeaseRecord.NONE, false, proven);
	}

	/**
	 * Returns whether nobody can hold the lease.
	 * @return {@code true} if it was never held or was given up
	 */
	public boolean isFree() {
		return this.resigned || this.fence == LeaseRecord.NONE;
	}

	LeaseState renewedAt(long offset) {
		return new LeaseState(this.holder, this.nonce, this.fence, offset, false, true);
	}

	LeaseState resignedAt(long offset) {
		return new LeaseState(this.holder, this.nonce, this.fence, offset, true, true);
	}

}
