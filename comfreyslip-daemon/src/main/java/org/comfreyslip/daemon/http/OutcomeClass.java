package org.comfreyslip.daemon.http;

import java.util.Locale;

import org.comfreyslip.coordination.CodedException;

/**
 * How a request ended, for the metrics.
 */
enum OutcomeClass {

	/** A whole response was passed on, including error responses of the service. */
	ANSWERED,

	/** The request is known not to have run. */
	NOT_RUN,

	/** The request failed or was interrupted after it may have run. */
	FAILED,

	/** A protected call may have run, and its outcome has to be looked up. */
	UNKNOWN,

	/** The caller closed the connection. */
	CALLER_LEFT;

	static OutcomeClass ofError(CodedException error) {
		return (error.isNotRun()) ? NOT_RUN : FAILED;
	}

	String metricTag() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
