package org.comfreyslip.routing.admission;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.Priority;

/**
 * Decides at once whether a request may run: by deadline, account share, priority and
 * concurrency limit, in this order.
 */
public final class AdmissionController {

	/**
	 * Part of the limit from which accounts above their fair part are refused. The rest
	 * is kept for small accounts while a large one floods the daemon.
	 */
	public static final double FAIR_SHARE_THRESHOLD = 0.7;

	private static final double LOW_PRIORITY_LIMIT_FRACTION = 0.8;

	private static final double NORMAL_PRIORITY_LIMIT_FRACTION = 0.95;

	private final AccountShares shares;

	private final ConcurrencyLimit limit;

	private int openRequestCount;

	/**
	 * Creates a controller.
	 * @param shares the accounts' shares
	 * @param limit the concurrency limit
	 */
	public AdmissionController(AccountShares shares, ConcurrencyLimit limit) {
		this.shares = shares;
		this.limit = limit;
	}

	/**
	 * Decides on a request and counts it if it is admitted.
	 * @param request the request
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter
	 * @return the decision
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
	 * Ends an admitted request.
	 * @param admitted the admission
	 */
	public void finishRequest(AdmissionDecision.Admitted admitted) {
		if (this.openRequestCount == 0) {
			throw Invariants.violated("more requests finished than were admitted");
		}
		this.shares.closeRequest(admitted.account());
		this.openRequestCount--;
	}

	/**
	 * Takes the latency of an admitted request for the concurrency limit.
	 * @param latencyNanos the time to first token, or of a whole plain call, in ns
	 */
	public void recordLatency(long latencyNanos) {
		this.limit.recordLatency(latencyNanos, this.openRequestCount);
	}

	/**
	 * Returns the open requests.
	 * @return the count
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
