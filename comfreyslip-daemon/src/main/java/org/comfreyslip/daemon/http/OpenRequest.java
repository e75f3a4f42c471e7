package org.comfreyslip.daemon.http;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.daemon.journal.RequestEntry;
import org.comfreyslip.routing.topology.AccountSpec;

/**
 * An admitted request, until it is closed.
 *
 * @param id the request's id
 * @param account the client account
 * @param config the configuration in force when the request arrived
 * @param deadlineNanos the time on the monotonic clock after which the caller no longer
 * waits
 * @param boundary records whether the request may have run
 * @param entry the request's entry in the journal
 * @param closed whether the request has ended
 * @param onClose gives back the request's permits and counts the request
 */
record OpenRequest(String id, AccountSpec account, ConfigInForce config, long deadlineNanos, CallBoundary boundary,
		RequestEntry entry, AtomicBoolean closed, Consumer<OutcomeClass> onClose) {

	/**
	 * Records the outcome. Called before the response is sent, so that an explanation
	 * that is requested after the response already contains it.
	 * @param outcome the outcome for the request's journal entry
	 */
	void recordOutcome(String outcome) {
		this.entry.recordOutcome(outcome, System.currentTimeMillis());
	}

	/**
	 * Ends the request. Further calls have no effect.
	 * @param outcomeClass how it ended, for the metrics
	 * @param outcome the outcome for the request's journal entry
	 */
	void close(OutcomeClass outcomeClass, String outcome) {
		if (this.closed.compareAndSet(false, true)) {
			this.entry.recordOutcome(outcome, System.currentTimeMillis());
			this.onClose.accept(outcomeClass);
		}
	}

}
