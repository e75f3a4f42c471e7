package org.comfreyslip.entry.admission;

/** Result of {@link AdmissionControl#decide}. */
public enum Decision {

	/** The request may take capacity if there is any. */
	ADMIT,

	/** Capacity is needed for more urgent requests. */
	HOLD_BACK_BY_PRIORITY,

	/** The client account has more than its fair share of its priority. */
	HOLD_BACK_BY_ACCOUNT

}
