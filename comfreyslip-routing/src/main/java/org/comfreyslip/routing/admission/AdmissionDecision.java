package org.comfreyslip.routing.admission;

/**
 * Result of the admission check of a request.
 */
public sealed interface AdmissionDecision {

	/**
	 * The request may run. It counts as open until
	 * {@link AdmissionController#finishRequest}.
	 *
	 * @param account the client account's name
	 */
	record Admitted(String account) implements AdmissionDecision {
	}

	/**
	 * The request may not run and is rejected at once.
	 *
	 * @param reason which check refused it
	 * @param retryAfterMillis the time after which the caller may retry, in ms
	 */
	record Refused(RefusalReason reason, long retryAfterMillis) implements AdmissionDecision {
	}

}
