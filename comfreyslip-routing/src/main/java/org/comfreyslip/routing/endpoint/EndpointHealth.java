package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Health of one endpoint as one daemon sees it. Each grant other than
 * {@link EndpointGrant#REFUSED} is settled by exactly one call of
 * {@link #onCallSucceeded}, {@link #onCallFailed} or {@link #onCallAbandoned}.
 */
public final class EndpointHealth {

	/** Back-off of the first ejection, in ns. */
	public static final long FIRST_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Longest back-off before jitter, in ns. */
	public static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** Time over which the weight of a new or recovered endpoint rises to 1, in ns. */
	public static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Weight at the start of slow start. */
	public static final double INITIAL_WEIGHT = 0.1;

	/**
	 * Time after the last sign of leaving during which signs of life are ignored, in ns.
	 * The host list lags and may still show a leaving host as live.
	 */
	public static final long LEAVING_HOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MAX_BACKOFF_DOUBLINGS = 6;

	// Daemons that eject an endpoint together must not probe it together.
	private static final double JITTER_FRACTION = 0.25;

	private final EndpointTiming timing = new EndpointTiming();

	private boolean ejected;

	private boolean leaving;

	private boolean probeOpen;

	private int consecutiveFailureCount;

	private int ejectionCount;

	private long ejectedUntilNanos;

	private long slowStartedAtNanos;

	private long lastReportedLeavingAtNanos;

	/**
	 * Creates the health of an endpoint that starts its slow start.
	 * @param nowNanos the current time in ns
	 */
	public EndpointHealth(long nowNanos) {
		this.slowStartedAtNanos = nowNanos;
	}

	/**
	 * Returns the state.
	 * @param nowNanos the current time in ns
	 * @return the state at that time
	 */
	public EndpointState state(long nowNanos) {
		if (this.leaving) {
			return EndpointState.LEAVING;
		}
		if (!this.ejected) {
			return EndpointState.HEALTHY;
		}
		return (nowNanos - this.ejectedUntilNanos < 0) ? EndpointState.EJECTED : EndpointState.HALF_OPEN;
	}

	/**
	 * Returns what {@link #startCall} would grant.
	 * @param nowNanos the current time in ns
	 * @return the grant at that time
	 */
	public EndpointGrant grant(long nowNanos) {
		return switch (state(nowNanos)) {
			case HEALTHY -> EndpointGrant.NORMAL;
			case HALF_OPEN -> (this.probeOpen) ? EndpointGrant.REFUSED : EndpointGrant.PROBE;
			case EJECTED, LEAVING -> EndpointGrant.REFUSED;
		};
	}

	/**
	 * Starts a call if the endpoint may take it.
	 * @param nowNanos the current time in ns
	 * @return the grant; {@link EndpointGrant#PROBE} at most once until it is settled
	 */
	public EndpointGrant startCall(long nowNanos) {
		EndpointGrant grant = grant(nowNanos);
		if (grant == EndpointGrant.PROBE) {
			if (this.probeOpen) {
				throw Invariants.violated("second half-open probe while one is open");
			}
			this.probeOpen = true;
		}
		return grant;
	}

	/**
	 * Settles a call that succeeded. Only a probe ends an ejection: a call from before
	 * the ejection says nothing about the endpoint now.
	 * @param grant the grant of the call
	 * @param nowNanos the current time in ns
	 * @param unitNanos the measured time per unit of work, in ns
	 */
	public void onCallSucceeded(EndpointGrant grant, long nowNanos, long unitNanos) {
		settleCall(grant);
		this.timing.addMeasurement(unitNanos);
		if (grant == EndpointGrant.PROBE) {
			this.ejected = false;
			this.slowStartedAtNanos = nowNanos;
		}
		if (this.ejected) {
			return;
		}
		this.consecutiveFailureCount = 0;
		if (nowNanos - this.slowStartedAtNanos >= SLOW_START_NANOS) {
			this.ejectionCount = 0;
		}
	}

	/**
	 * Settles a call that failed.
	 * @param grant the grant of the call
	 * @param failure how it failed
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter
	 */
	public void onCallFailed(EndpointGrant grant, EndpointFailure failure, long nowNanos, RandomGenerator random) {
		settleCall(grant);
		if (grant == EndpointGrant.PROBE) {
			eject(nowNanos, random);
			return;
		}
		if (this.ejected) {
			return;
		}
		this.consecutiveFailureCount++;
		if (failure.isEjectionDue(this.consecutiveFailureCount)) {
			eject(nowNanos, random);
		}
	}

	/**
	 * Settles a call that ended without a statement about the endpoint, for example
	 * because the caller went away. An abandoned probe may be repeated at once.
	 * @param grant the grant of the call
	 */
	public void onCallAbandoned(EndpointGrant grant) {
		settleCall(grant);
	}

	/**
	 * Records an ejection by a peer. An endpoint that is already ejected keeps its
	 * back-off, so that gossip of one fault does not lengthen it again and again.
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter
	 */
	public void onEjectedByPeer(long nowNanos, RandomGenerator random) {
		if (!this.ejected) {
			eject(nowNanos, random);
		}
	}

	/**
	 * Records a sign that the endpoint is leaving. From this instant it gets no new work.
	 * @param nowNanos the current time in ns
	 */
	public void onReportedLeaving(long nowNanos) {
		this.leaving = true;
		this.lastReportedLeavingAtNanos = nowNanos;
	}

	/**
	 * Records that the host list or the endpoint says it is live. Ends leaving once no
	 * sign of leaving was seen for {@link #LEAVING_HOLD_NANOS}.
	 * @param nowNanos the current time in ns
	 */
	public void onReportedLive(long nowNanos) {
		if (this.leaving && nowNanos - this.lastReportedLeavingAtNanos >= LEAVING_HOLD_NANOS) {
			this.leaving = false;
			this.slowStartedAtNanos = nowNanos;
		}
	}

	/**
	 * Returns the slow-start weight.
	 * @param nowNanos the current time in ns
	 * @return the weight, {@link #INITIAL_WEIGHT} to 1
	 */
	public double slowStartWeight(long nowNanos) {
		double part = (double) (nowNanos - this.slowStartedAtNanos) / SLOW_START_NANOS;
		return Math.max(INITIAL_WEIGHT, Math.min(1, part));
	}

	/**
	 * Returns when the back-off of an ejected endpoint ends.
	 * @return the time in ns; meaningful only while the endpoint is ejected
	 */
	public long ejectedUntilNanos() {
		return this.ejectedUntilNanos;
	}

	/**
	 * Returns the measured times.
	 * @return the times of this endpoint
	 */
	public EndpointTiming timing() {
		return this.timing;
	}

	private void settleCall(EndpointGrant grant) {
		if (grant == EndpointGrant.REFUSED) {
			throw Invariants.violated("a refused call was settled; it must not have been sent");
		}
		if (grant == EndpointGrant.PROBE) {
			if (!this.probeOpen) {
				throw Invariants.violated("a half-open probe was settled twice");
			}
			this.probeOpen = false;
		}
	}

	private void eject(long nowNanos, RandomGenerator random) {
		long backoff = Math.min(MAX_BACKOFF_NANOS,
				FIRST_BACKOFF_NANOS << Math.min(MAX_BACKOFF_DOUBLINGS, this.ejectionCount));
		double jitter = 1 + JITTER_FRACTION * (2 * random.nextDouble() - 1);
		this.ejected = true;
		this.ejectionCount++;
		this.consecutiveFailureCount = 0;
		this.ejectedUntilNanos = nowNanos + (long) (backoff * jitter);
	}

}
