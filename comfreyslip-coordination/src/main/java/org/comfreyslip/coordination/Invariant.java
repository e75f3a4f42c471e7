package org.comfreyslip.coordination;

/**
 * Checks of conditions that hold in every run of a correct program.
 */
public final class Invariant {

	private Invariant() {
	}

	/**
	 * Checks a condition.
	 * @param holds the condition
	 * @param message what was found when it does not hold
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if it does not
	 * hold
	 */
	public static void check(boolean holds, String message) {
		if (!holds) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED, message);
		}
	}

}
