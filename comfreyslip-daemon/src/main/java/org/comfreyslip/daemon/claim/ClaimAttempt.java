package org.comfreyslip.daemon.claim;

/**
 * An attempt at a protected call as the claim log sees it.
 */
interface ClaimAttempt {

	/**
	 * Returns the claim stream of the attempt's key.
	 * @return the partition
	 */
	int partition();

	/**
	 * The stream was read further.
	 */
	void onRecordsRead();

	/**
	 * The log refused the attempt's claim.
	 */
	void onAppendRefused();

	/**
	 * The process ends now.
	 */
	void onShutdown();

}
