package org.comfreyslip.load.slopes;

/**
 * A part of the daemon at one size. The heap that the subject retains is measured.
 */
interface SlopeSubject {

	/**
	 * Performs one operation.
	 * @return a value that depends on the operation, so that it is not optimised away
	 */
	Object work();

	/**
	 * Returns the size of the message that goes with one operation.
	 * @return bytes, 0 without a message
	 */
	long messageBytes();

}
