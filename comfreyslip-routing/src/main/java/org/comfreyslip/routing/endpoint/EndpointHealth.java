package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Health of one endpoint as one daemon sees it. For each grant other than
 * {@link EndpointGrant#REFUSED}, the end of the call must be recorded by exactly one call
 * of {@link #onCallSucceeded}, {@link #onCallFailed} or {@link #onCallAbandoned}.
 */
public final class EndpointHealth {

	/** Backoff of the first ejection, in ns. */
	public static final long FIRST_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Longest backoff before jitter, in ns. */
	public static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** Time over which the weight of a new or recovered endpoint rises to 1, in ns. */
	public static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Weight at the start of slow start. */
	public static final double INITIAL_WEIGHT = 0.1;

	/**
	 * Time after the last report that the endpoint is leaving during which reports that
	 * it is live are ignored, in ns. The host list lags and may still show a leaving host
	 * as live.
	 */
	public static final long LEAVING_HOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MAX_BACKOFF_DOUBLINGS = 6;

	// Spreads the probes of daemons that ejected an endpoint at the same time.
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
	 * Creates the health of a new endpoint, which is healthy and begins its slow start.
	 * @param nowNanos the current time in ns
	 */
	public EndpointHealth(long nowNanos) {
		this.slowStartedAtNanos = nowNanos;
	}

	/**
	 * Returns the state of the endpoint.
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
	 * Returns what {@link #startCall} would grant, without starting a call.
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
	 * @return the grant; after {@link EndpointGrant#PROBE}, no further probe is granted
	 * until the end of that one is recorded
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
	 * Records that a call succeeded. Only a probe ends an ejection: a call that started
	 * before the ejection says nothing about the current state of the endpoint.
	 * @param grant the grant of the call
	 * @param nowNanos the current time in ns
	 * @param unitNanos the measured time per unit of work, in ns
	 */
	public void onCallSucceeded(EndpointGrant grant, long nowNanos, long unitNanos) {
		endCall(grant);
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
	 * Records that a call failed.
	 * @param grant the grant of the call
	 * @param failure how it failed
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter
	 */
	public void onCallFailed(EndpointGrant grant, EndpointFailure failure, long nowNanos, RandomGenerator random) {
		endCall(grant);
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
	 * Records that a call ended without a result that says anything about the endpoint,
	 * for example because the caller disconnected. After an abandoned probe the next call
	 * may probe at once.
	 * @param grant the grant of the call
	 */
	public void onCallAbandoned(EndpointGrant grant) {
		endCall(grant);
	}

	/**
	 * Records that a peer ejected the endpoint. An endpoint that is already ejected keeps
	 * its backoff, so that repeated gossip about one fault does not extend it.
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter
	 */
	public void onEjectedByPeer(long nowNanos, RandomGenerator random) {
		if (!this.ejected) {
			eject(nowNanos, random);
		}
	}

	/**
	 * Records a report that the endpoint is leaving. From now on it gets no new work.
	 * @param nowNanos the current time in ns
	 */
	public void onReportedLeaving(long nowNanos) {
		this.leaving = true;
		this.lastReportedLeavingAtNanos = nowNanos;
	}

	/**
	 * Records a report of the host list or of the endpoint itself that it is live. This
	 * ends the leaving state only after {@link #LEAVING_HOLD_NANOS} without a report that
	 * it is leaving.
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
		double elapsedFraction = (double) (nowNanos - this.slowStartedAtNanos) / SLOW_START_NANOS;
		return Math.max(INITIAL_WEIGHT, Math.min(1, elapsedFraction));
	}

	/**
	 * Returns when the backoff of an ejected endpoint ends.
	 * @return the time in ns; meaningful only while the endpoint is ejected
	 */
	public long ejectedUntilNanos() {
		return this.ejectedUntilNanos;
	}

	/**
	 * Returns the measured call times, from which timeouts are derived.
	 * @return the live object that later calls update, never {@code null}
	 */
	public EndpointTiming timing() {
		return this.timing;
	}

	private void endCall(EndpointGrant grant) {
		if (grant == EndpointGrant.REFUSED) {
			throw Invariants.violated("the end of a refused call was recorded; it must not have been sent");
		}
		if (grant == EndpointGrant.PROBE) {
			if (!this.probeOpen) {
				throw Invariants.violated("the end of a half-open probe was recorded twice");
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
