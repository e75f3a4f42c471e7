package org.comfreyslip.routing.admission;

/**
 * Result of an admission check.
 */
public sealed interface AdmissionDecision {

	/**
	 * The request may run. It counts until {@link AdmissionController#finishRequest}.
	 *
	 * @param account the client account
	 */
	record Admitted(String account) implements AdmissionDecision {
	}

	/**
	 * The request may not run and is to be answered at once.
	 *
	 * @param reason why
	 * @param retryAfterMillis when to come back, in ms
	 */
	record Refused(RefusalReason reason, long retryAfterMillis) implements AdmissionDecision {
	}

}
