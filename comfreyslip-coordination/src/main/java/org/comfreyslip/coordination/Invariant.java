package org.comfreyslip.coordination;

/**
 * Checks of conditions that always hold if the program is correct.
 */
public final class Invariant {

	private Invariant() {
	}

	/**
	 * Checks a condition.
	 * @param condition the condition
	 * @param message a description of the violation
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the condition
	 * is false
	 */
	public static void check(boolean condition, String message) {
		if (!condition) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED, message);
		}
	}

}
