package org.comfreyslip.entry.http;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.admission.AdmissionControl;
import org.comfreyslip.entry.admission.Decision;
import org.comfreyslip.entry.model.ClientAccount;

/**
 * Asks {@link AdmissionControl} about requests for services with a model engine, tells it
 * what became of them, and logs and counts what it holds back.
 */
final class CapacityGate {

	/** Least time between two log lines about the share of one service, in ns. */
	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final AdmissionControl control;

	private final EntryMetrics metrics;

	private final LongSupplier elapsedNanos;

	/** When the share of a service was last logged, while requests are held back. */
	private final Map<String, Long> loggedAtNanos = new HashMap<>();

	/**
	 * Creates the gate.
	 * @param control decides
	 * @param metrics counts what is held back
	 * @param elapsedNanos clock of the elapsed time, in ns
	 */
	CapacityGate(AdmissionControl control, EntryMetrics metrics, LongSupplier elapsedNanos) {
		this.control = control;
		this.metrics = metrics;
		this.elapsedNanos = elapsedNanos;
	}

	/**
	 * Decides whether a request is held back. Must be called once for each request,
	 * before its first send.
	 * @param admitted the request; those for plain services are never held back
	 * @param tokens tokens of the prompt and of the expected response
	 * @param returning whether it was refused before and returns when it was told to
	 * @return whether to refuse it at once
	 */
	boolean holdsBack(RequestAdmission.AdmittedRequest admitted, int tokens, boolean returning) {
		long now = this.elapsedNanos.getAsLong();
		String account = admitted.account().map(ClientAccount::name).orElse("");
		Decision decision = this.control.decide(admitted.service(), admitted.priority(), account,
				work(admitted, tokens), returning, now);
		logShare(admitted.service(), now);
		if (decision == Decision.HOLD_BACK_BY_PRIORITY) {
			this.metrics.increment(EntryMetrics.Count.HELD_BACK_BY_PRIORITY);
		}
		else if (decision == Decision.HOLD_BACK_BY_ACCOUNT) {
			this.metrics.increment(EntryMetrics.Count.HELD_BACK_BY_ACCOUNT);
		}
		return decision != Decision.ADMIT;
	}

	/**
	 * Records what became of a request that was not held back.
	 * @param admitted the request
	 * @param tokens tokens of the prompt and of the expected response
	 * @param found whether there was capacity for it
	 */
	void recordSearch(RequestAdmission.AdmittedRequest admitted, int tokens, boolean found) {
		long now = this.elapsedNanos.getAsLong();
		if (found) {
			this.control.recordAdmitted(admitted.service(), admitted.priority(), work(admitted, tokens), now);
		}
		else {
			this.control.recordNoCapacity(admitted.service(), admitted.priority(), work(admitted, tokens), now);
		}
	}

	private static double work(RequestAdmission.AdmittedRequest admitted, int tokens) {
		return (double) tokens * admitted.engine().orElseThrow().layers();
	}

	private void logShare(String service, long nowNanos) {
		double share = this.control.share(service, nowNanos);
		Long loggedAt = this.loggedAtNanos.get(service);
		boolean due = loggedAt == null || nowNanos - loggedAt >= LOG_INTERVAL_NANOS;
		if (share < 1 && due) {
			this.loggedAtNanos.put(service, nowNanos);
			EntryLog.write((loggedAt != null) ? EntryEvent.ADMISSION_SHARE : EntryEvent.ADMISSION_SHORT, service,
					"share", Math.round(share * 1_000) / 1_000.0, "by_priority", this.control.describeShares(service));
		}
		else if (share >= 1 && loggedAt != null && due) {
			this.loggedAtNanos.remove(service);
			EntryLog.write(EntryEvent.ADMISSION_ENDED, service);
		}
	}

}
