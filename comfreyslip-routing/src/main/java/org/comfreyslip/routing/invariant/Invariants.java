package org.comfreyslip.routing.invariant;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Creates errors for violated invariants. Callers check the condition themselves, so that
 * no message is built while the invariant holds.
 */
public final class Invariants {

	private Invariants() {
	}

	/**
	 * Creates the error for a violated invariant.
	 * @param message the value that was found and the one that was expected
	 * @return an error with code {@link ErrorCode#INVARIANT_VIOLATED}
	 */
	public static CodedException violated(String message) {
		return new CodedException(ErrorCode.INVARIANT_VIOLATED, message);
	}

}
