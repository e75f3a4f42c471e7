package org.comfreyslip.coordination.lease;

/**
 * State of one lease after a log offset.
 *
 * @param holder the last holder, empty if there was none
 * @param nonce the nonce of the accepted request, empty if that request was not read
 * @param fencingToken the fencing token of the last holder, {@link LeaseRecord#NONE} if
 * there was none
 * @param lastRenewal log offset of the last accepted record of any type,
 * {@link LeaseRecord#NONE} if there is none
 * @param resigned whether the holder has resigned the lease
 * @param proven whether the state follows from the records read. A reader that starts
 * inside a trimmed log assumes that the first request that it reads was accepted, until a
 * renewal proves who holds the lease.
 */
public record LeaseState(String holder, String nonce, long fencingToken, long lastRenewal, boolean resigned,
		boolean proven) {

	static LeaseState unheld(boolean proven) {
		return new LeaseState("", "", LeaseRecord.NONE, LeaseRecord.NONE, false, proven);
	}

	/**
	 * Returns whether the lease has no holder according to this state.
	 * @return {@code true} if no holder is known or the last one has resigned
	 */
	public boolean isFree() {
		return this.resigned || this.fencingToken == LeaseRecord.NONE;
	}

	LeaseState withRenewal(long offset) {
		return new LeaseState(this.holder, this.nonce, this.fencingToken, offset, false, true);
	}

	LeaseState withResignation(long offset) {
		return new LeaseState(this.holder, this.nonce, this.fencingToken, offset, true, true);
	}

}
