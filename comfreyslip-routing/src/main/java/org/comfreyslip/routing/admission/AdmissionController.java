package org.comfreyslip.routing.admission;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.Priority;

/**
 * Decides whether a request may run, without queueing it. It checks the deadline, the
 * account's share, the concurrency limit, the part of it that the priority may use, and
 * the account's fair share, in this order.
 */
public final class AdmissionController {

	/**
	 * Fraction of the concurrency limit from which accounts above their fair share are
	 * refused. The rest is kept for small accounts while a large one floods the daemon.
	 */
	public static final double FAIR_SHARE_THRESHOLD = 0.7;

	private static final double LOW_PRIORITY_LIMIT_FRACTION = 0.8;

	private static final double NORMAL_PRIORITY_LIMIT_FRACTION = 0.95;

	private final AccountShares shares;

	private final ConcurrencyLimit limit;

	private int openRequestCount;

	/**
	 * Creates a controller.
	 * @param shares the limits of the client accounts at this daemon
	 * @param limit the limit on all open requests of this daemon
	 */
	public AdmissionController(AccountShares shares, ConcurrencyLimit limit) {
		this.shares = shares;
		this.limit = limit;
	}

	/**
	 * Decides whether a request is admitted, and counts it if so.
	 * @param request the request, with its account, deadline and expected wait
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter of the retry time
	 * @return {@link AdmissionDecision.Admitted} or {@link AdmissionDecision.Refused}
	 */
	public AdmissionDecision admit(AdmissionRequest request, long nowNanos, RandomGenerator random) {
		Optional<RefusalReason> reason = findRefusal(request, nowNanos);
		if (reason.isPresent()) {
			return new AdmissionDecision.Refused(reason.get(), RetryAfter.millis(request.expectedWaitNanos(), random));
		}
		this.shares.openRequest(request.account());
		this.openRequestCount++;
		return new AdmissionDecision.Admitted(request.account().name());
	}

	/**
	 * Removes an admitted request that ended from the count.
	 * @param admitted the decision that admitted it
	 */
	public void finishRequest(AdmissionDecision.Admitted admitted) {
		if (this.openRequestCount == 0) {
			throw Invariants.violated("more requests finished than were admitted");
		}
		this.shares.closeRequest(admitted.account());
		this.openRequestCount--;
	}

	/**
	 * Records the latency of an admitted request, which the concurrency limit follows.
	 * @param latencyNanos the time to the first token of a model request, or of the whole
	 * call to a plain service, in ns
	 */
	public void recordLatency(long latencyNanos) {
		this.limit.recordLatency(latencyNanos, this.openRequestCount);
	}

	/**
	 * Returns the number of admitted requests that have not ended.
	 * @return the count, from 0
	 */
	public int openRequestCount() {
		return this.openRequestCount;
	}

	private Optional<RefusalReason> findRefusal(AdmissionRequest request, long nowNanos) {
		long left = request.deadlineNanos() - nowNanos;
		if (left <= 0) {
			return Optional.of(RefusalReason.DEADLINE_PASSED);
		}
		if (request.expectedWaitNanos() > left) {
			return Optional.of(RefusalReason.WAIT_EXCEEDS_DEADLINE);
		}
		Optional<RefusalReason> share = this.shares.findRefusal(request.account());
		return share.isPresent() ? share : findCapacityRefusal(request);
	}

	private Optional<RefusalReason> findCapacityRefusal(AdmissionRequest request) {
		int max = this.limit.limit();
		if (this.openRequestCount >= max) {
			return Optional.of(RefusalReason.CONCURRENCY);
		}
		if (this.openRequestCount >= max * usableLimitFraction(request.account().priority())) {
			return Optional.of(RefusalReason.PRIORITY);
		}
		if (this.openRequestCount >= max * FAIR_SHARE_THRESHOLD
				&& this.shares.wouldExceedFairShare(request.account(), max)) {
			return Optional.of(RefusalReason.ABOVE_FAIR_SHARE);
		}
		return Optional.empty();
	}

	private static double usableLimitFraction(Priority priority) {
		return switch (priority) {
			case HIGH -> 1;
			case NORMAL -> NORMAL_PRIORITY_LIMIT_FRACTION;
			case LOW -> LOW_PRIORITY_LIMIT_FRACTION;
		};
	}

}
