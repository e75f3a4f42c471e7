package org.comfreyslip.daemon.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.routing.admission.AccountShares;
import org.comfreyslip.routing.admission.AdmissionController;
import org.comfreyslip.routing.admission.AdmissionDecision;
import org.comfreyslip.routing.admission.AdmissionRequest;
import org.comfreyslip.routing.admission.ConcurrencyLimit;
import org.comfreyslip.routing.admission.RetryBudget;
import org.comfreyslip.routing.topology.AccountSpec;

/**
 * Admits or refuses requests by deadline, account share, priority and concurrency limit,
 * and keeps the retry budget. Thread-safe: all state is guarded by the lock of this
 * object.
 */
public final class Admission {

	/** Concurrency limit at the start, in requests. */
	private static final int INITIAL_LIMIT = 512;

	/** Upper bound of the concurrency limit, in requests. */
	private static final int MAX_LIMIT = 8_192;

	private final AccountShares shares = new AccountShares();

	private final AdmissionController controller = new AdmissionController(this.shares,
			new ConcurrencyLimit(INITIAL_LIMIT, MAX_LIMIT));

	private final RetryBudget retryBudget = new RetryBudget();

	private final Map<String, Long> refusalCounts = new TreeMap<>();

	private final RandomGenerator random;

	/**
	 * Creates an admission with no open requests.
	 * @param random the source of the jitter of retry times
	 */
	public Admission(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Admits a request, or refuses it with an error that says that it has not run.
	 * @param account the client account
	 * @param deadlineNanos the request's deadline, on the monotonic clock
	 * @param boundary records whether the request may have run; closed if the request is
	 * refused
	 * @param nowNanos the present time, on the monotonic clock
	 * @return the permit, to be given back with {@link #release}
	 * @throws org.comfreyslip.coordination.CodedException if the request is refused
	 */
	synchronized AdmissionDecision.Admitted admit(AccountSpec account, long deadlineNanos, CallBoundary boundary,
			long nowNanos) {
		AdmissionDecision decision = this.controller.admit(new AdmissionRequest(account, deadlineNanos, 0), nowNanos,
				this.random);
		if (decision instanceof AdmissionDecision.Refused refused) {
			this.refusalCounts.merge(refused.reason().name(), 1L, Long::sum);
			throw boundary.closeAsNotRun(refused.reason().code(), "request refused: " + refused.reason(),
					refused.retryAfterMillis());
		}
		this.retryBudget.recordRequest();
		return (AdmissionDecision.Admitted) decision;
	}

	/**
	 * Gives back the permit of a request that ended.
	 * @param admitted the permit
	 */
	synchronized void release(AdmissionDecision.Admitted admitted) {
		this.controller.finishRequest(admitted);
	}

	/**
	 * Adapts the concurrency limit to the latency of a call to an endpoint.
	 * @param nanos the time from sending the call to its response
	 */
	synchronized void recordLatency(long nanos) {
		this.controller.recordLatency(nanos);
	}

	/**
	 * Takes one retry from the retry budget.
	 * @return {@code false} if the budget is spent
	 */
	synchronized boolean tryRetry() {
		return this.retryBudget.tryAcquireRetry();
	}

	/**
	 * Sets the number of live daemons over which the accounts' limits are divided.
	 * @param count the count, this daemon included
	 */
	public synchronized void setLiveDaemons(int count) {
		this.shares.setLiveDaemons(count);
	}

	/**
	 * Records the usage of an account that a peer reports.
	 * @param peer the peer's name
	 * @param account the account's name
	 * @param open the account's open requests at the peer
	 * @param nowNanos the present time, on the monotonic clock
	 */
	public synchronized void recordPeerUsage(String peer, String account, int open, long nowNanos) {
		this.shares.onPeerUsageReport(peer, account, open, nowNanos);
	}

	/**
	 * Returns the refusals since the last call and resets their counts.
	 * @return the count by name of the reason, without reasons that did not occur
	 */
	public synchronized Map<String, Long> takeRefusals() {
		Map<String, Long> taken = new TreeMap<>(this.refusalCounts);
		this.refusalCounts.clear();
		return taken;
	}

	/**
	 * Drops the usage of peers whose last report is too old. The usage of a peer that
	 * died would otherwise count against its accounts forever.
	 * @param nowNanos the present time, on the monotonic clock
	 */
	public synchronized void expirePeerUsage(long nowNanos) {
		this.shares.removeExpiredReports(nowNanos);
	}

	/**
	 * Counts an account's open requests on this daemon.
	 * @param account the account's name
	 * @return the number of open requests, 0 if the account is unknown
	 */
	public synchronized int openRequestCount(String account) {
		return this.shares.openRequestCount(account);
	}

}
