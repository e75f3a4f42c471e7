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
	public static final double FAIR_FROM = 0.7;

	private static final double LOW_UP_TO = 0.8;

	private static final double NORMAL_UP_TO = 0.95;

	private final AccountShares shares;

	private final ConcurrencyLimit limit;

	private int inFlight;

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
		Optional<RefusalReason> reason = refusal(request, nowNanos);
		if (reason.isPresent()) {
			return new AdmissionDecision.Refused(reason.get(), RetryAfter.millis(request.expectedWaitNanos(), random));
		}
		this.shares.open(request.account());
		this.inFlight++;
		return new AdmissionDecision.Admitted(request.account().name());
	}

	/**
	 * Ends an admitted request.
	 * @param admitted the admission
	 */
	public void finish(AdmissionDecision.Admitted admitted) {
		if (this.inFlight == 0) {
			throw Invariants.violated("more requests finished than were admitted");
		}
		this.shares.close(admitted.account());
		this.inFlight--;
	}

	/**
	 * Takes the latency of an admitted request for the concurrency limit.
	 * @param latencyNanos the time to first token, or of a whole plain call, in ns
	 */
	public void onLatency(long latencyNanos) {
		this.limit.onSample(latencyNanos, this.inFlight);
	}

	/**
	 * Returns the open requests.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	private Optional<RefusalReason> refusal(AdmissionRequest request, long nowNanos) {
		long left = request.deadlineNanos() - nowNanos;
		if (left <= 0) {
			return Optional.of(RefusalReason.DEADLINE_PASSED);
		}
		if (request.expectedWaitNanos() > left) {
			return Optional.of(RefusalReason.WAIT_EXCEEDS_DEADLINE);
		}
		Optional<RefusalReason> share = this.shares.refusal(request.account());
		return share.isPresent() ? share : capacityRefusal(request);
	}

	private Optional<RefusalReason> capacityRefusal(AdmissionRequest request) {
		int max = this.limit.limit();
		if (this.inFlight >= max) {
			return Optional.of(RefusalReason.CONCURRENCY);
		}
		if (this.inFlight >= max * usablePart(request.account().priority())) {
			return Optional.of(RefusalReason.PRIORITY);
		}
		if (this.inFlight >= max * FAIR_FROM && this.shares.isAboveFairShare(request.account(), max)) {
			return Optional.of(RefusalReason.ABOVE_FAIR_SHARE);
		}
		return Optional.empty();
	}

	private static double usablePart(Priority priority) {
		return switch (priority) {
			case HIGH -> 1;
			case NORMAL -> NORMAL_UP_TO;
			case LOW -> LOW_UP_TO;
		};
	}

}
