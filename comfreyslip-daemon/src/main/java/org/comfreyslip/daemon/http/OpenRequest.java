package org.comfreyslip.daemon.http;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.daemon.journal.RequestEntry;
import org.comfreyslip.routing.topology.AccountSpec;

/**
 * An admitted request.
 *
 * @param id the request's id
 * @param account the client account
 * @param config the configuration in force when the request came
 * @param deadline the time at which the caller no longer waits, in monotonic ns
 * @param boundary the boundary between "not run" and "may have run"
 * @param entry the request's record
 * @param closed whether the request has ended
 * @param onClose gives the request's permits back and counts it
 */
record OpenRequest(String id, AccountSpec account, ConfigInForce config, long deadline, CallBoundary boundary,
		RequestEntry entry, AtomicBoolean closed, Consumer<OutcomeClass> onClose) {

	/**
	 * Records the outcome before the response is sent, so that a caller who asks for an
	 * explanation finds it.
	 * @param outcome the outcome for the request's record
	 */
	void record(String outcome) {
		this.entry.end(outcome, System.currentTimeMillis());
	}

	/**
	 * Ends the request. Repeating it has no further effect.
	 * @param outcomeClass how it ended, for the metrics
	 * @param outcome the outcome for the request's record
	 */
	void close(OutcomeClass outcomeClass, String outcome) {
		if (this.closed.compareAndSet(false, true)) {
			this.entry.end(outcome, System.currentTimeMillis());
			this.onClose.accept(outcomeClass);
		}
	}

}
