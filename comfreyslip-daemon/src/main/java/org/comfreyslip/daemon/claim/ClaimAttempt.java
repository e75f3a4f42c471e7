package org.comfreyslip.daemon.claim;

/**
 * An attempt at a protected call that {@link ClaimLog} notifies of what happens to its
 * claim stream.
 */
interface ClaimAttempt {

	/**
	 * Returns the claim stream that holds the records of the attempt's key.
	 * @return the number of the claim partition
	 */
	int partition();

	/**
	 * Called after further records of the claim stream were read.
	 */
	void onRecordsRead();

	/**
	 * Called when the log has rejected the append of the attempt's claim.
	 */
	void onAppendRefused();

	/**
	 * Called when the process shuts down.
	 */
	void onShutdown();

}
