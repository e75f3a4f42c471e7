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
 * Admission of requests, under the lock of the account shares.
 */
public final class Admission {

	private static final int INITIAL_LIMIT = 512;

	private static final int MAX_LIMIT = 8_192;

	private final AccountShares shares = new AccountShares();

	private final AdmissionController controller = new AdmissionController(this.shares,
			new ConcurrencyLimit(INITIAL_LIMIT, MAX_LIMIT));

	private final RetryBudget retries = new RetryBudget();

	private final Map<String, Long> refusals = new TreeMap<>();

	private final RandomGenerator random;

	/**
	 * Creates the admission.
	 * @param random the source of the jitter
	 */
	public Admission(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Admits a request or refuses it as not run.
	 * @param account the client account
	 * @param deadline the request's deadline, in monotonic ns
	 * @param boundary the request's boundary
	 * @param now the present time
	 * @return the admission, to be ended with {@link #finish}
	 * @throws org.comfreyslip.coordination.CodedException if the request is refused
	 */
	synchronized AdmissionDecision.Admitted admit(AccountSpec account, long deadline, CallBoundary boundary, long now) {
		AdmissionDecision decision = this.controller.admit(new AdmissionRequest(account, deadline, 0), now,
				this.random);
		if (decision instanceof AdmissionDecision.Refused refused) {
			this.refusals.merge(refused.reason().name(), 1L, Long::sum);
			throw boundary.closeAsNotRun(refused.reason().code(), "request refused: " + refused.reason(),
					refused.retryAfterMillis());
		}
		this.retries.recordRequest();
		return (AdmissionDecision.Admitted) decision;
	}

	synchronized void finish(AdmissionDecision.Admitted admitted) {
		this.controller.finishRequest(admitted);
	}

	synchronized void onLatency(long nanos) {
		this.controller.recordLatency(nanos);
	}

	synchronized boolean tryRetry() {
		return this.retries.tryAcquireRetry();
	}

	/**
	 * Sets the number of live daemons, over which the accounts' limits are divided.
	 * @param count the count, this daemon included
	 */
	public synchronized void setLiveDaemons(int count) {
		this.shares.setLiveDaemons(count);
	}

	/**
	 * Takes the usage that a peer reports.
	 * @param peer the peer's name
	 * @param account the account's name
	 * @param open the account's open requests at the peer
	 * @param now the present time
	 */
	public synchronized void onPeerUsage(String peer, String account, int open, long now) {
		this.shares.onPeerUsageReport(peer, account, open, now);
	}

	/**
	 * Takes the refusals since the last call.
	 * @return the count of each reason that occurred
	 */
	public synchronized Map<String, Long> takeRefusals() {
		Map<String, Long> taken = new TreeMap<>(this.refusals);
		this.refusals.clear();
		return taken;
	}

	/**
	 * Drops the usage of peers that have not reported for a while. A peer that died would
	 * otherwise count against its accounts for ever.
	 * @param now the present time
	 */
	public synchronized void expirePeerUsage(long now) {
		this.shares.removeExpiredReports(now);
	}

	/**
	 * Returns an account's open requests on this daemon.
	 * @param account the account's name
	 * @return the count
	 */
	public synchronized int open(String account) {
		return this.shares.openRequestCount(account);
	}

}
