package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Health of one endpoint as one daemon sees it. Each grant other than
 * {@link EndpointGrant#REFUSED} is settled by exactly one call of {@link #onSuccess},
 * {@link #onFailure} or {@link #onAbandoned}.
 */
public final class EndpointHealth {

	/** Back-off of the first ejection, in ns. */
	public static final long FIRST_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Longest back-off before jitter, in ns. */
	public static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** Time over which the weight of a new or recovered endpoint rises to 1, in ns. */
	public static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Weight at the start of slow start. */
	public static final double FIRST_WEIGHT = 0.1;

	/**
	 * Time after the last sign of leaving during which signs of life are ignored, in ns.
	 * The host list lags and may still show a leaving host as live.
	 */
	public static final long LEAVING_HOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MAX_DOUBLINGS = 6;

	// Daemons that eject an endpoint together must not probe it together.
	private static final double JITTER = 0.25;

	private final EndpointTiming timing = new EndpointTiming();

	private boolean ejected;

	private boolean leaving;

	private boolean probing;

	private int failuresInRow;

	private int ejections;

	private long ejectedUntilNanos;

	private long slowStartFromNanos;

	private long leavingSignNanos;

	/**
	 * Creates the health of an endpoint that starts its slow start.
	 * @param nowNanos the current time in ns
	 */
	public EndpointHealth(long nowNanos) {
		this.slowStartFromNanos = nowNanos;
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
	 * Returns what {@link #start} would grant.
	 * @param nowNanos the current time in ns
	 * @return the grant at that time
	 */
	public EndpointGrant grant(long nowNanos) {
		return switch (state(nowNanos)) {
			case HEALTHY -> EndpointGrant.NORMAL;
			case HALF_OPEN -> (this.probing) ? EndpointGrant.REFUSED : EndpointGrant.PROBE;
			case EJECTED, LEAVING -> EndpointGrant.REFUSED;
		};
	}

	/**
	 * Starts a call if the endpoint may take it.
	 * @param nowNanos the current time in ns
	 * @return the grant; {@link EndpointGrant#PROBE} at most once until it is settled
	 */
	public EndpointGrant start(long nowNanos) {
		EndpointGrant grant = grant(nowNanos);
		if (grant == EndpointGrant.PROBE) {
			if (this.probing) {
				throw Invariants.violated("second half-open probe while one is open");
			}
			this.probing = true;
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
	public void onSuccess(EndpointGrant grant, long nowNanos, long unitNanos) {
		settle(grant);
		this.timing.add(unitNanos);
		if (grant == EndpointGrant.PROBE) {
			this.ejected = false;
			this.slowStartFromNanos = nowNanos;
		}
		if (this.ejected) {
			return;
		}
		this.failuresInRow = 0;
		if (nowNanos - this.slowStartFromNanos >= SLOW_START_NANOS) {
			this.ejections = 0;
		}
	}

	/**
	 * Settles a call that failed.
	 * @param grant the grant of the call
	 * @param failure how it failed
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter
	 */
	public void onFailure(EndpointGrant grant, EndpointFailure failure, long nowNanos, RandomGenerator random) {
		settle(grant);
		if (grant == EndpointGrant.PROBE) {
			eject(nowNanos, random);
			return;
		}
		if (this.ejected) {
			return;
		}
		this.failuresInRow++;
		if (failure.isEjecting(this.failuresInRow)) {
			eject(nowNanos, random);
		}
	}

	/**
	 * Settles a call that ended without a statement about the endpoint, for example
	 * because the caller went away. An abandoned probe may be repeated at once.
	 * @param grant the grant of the call
	 */
	public void onAbandoned(EndpointGrant grant) {
		settle(grant);
	}

	/**
	 * Records an ejection by a peer. An endpoint that is already ejected keeps its
	 * back-off, so that gossip of one fault does not lengthen it again and again.
	 * @param nowNanos the current time in ns
	 * @param random the source of the jitter
	 */
	public void onPeerEjection(long nowNanos, RandomGenerator random) {
		if (!this.ejected) {
			eject(nowNanos, random);
		}
	}

	/**
	 * Records a sign that the endpoint is leaving. From this instant it gets no new work.
	 * @param nowNanos the current time in ns
	 */
	public void onLeaving(long nowNanos) {
		this.leaving = true;
		this.leavingSignNanos = nowNanos;
	}

	/**
	 * Records that the host list or the endpoint says it is live. Ends leaving once no
	 * sign of leaving was seen for {@link #LEAVING_HOLD_NANOS}.
	 * @param nowNanos the current time in ns
	 */
	public void onLive(long nowNanos) {
		if (this.leaving && nowNanos - this.leavingSignNanos >= LEAVING_HOLD_NANOS) {
			this.leaving = false;
			this.slowStartFromNanos = nowNanos;
		}
	}

	/**
	 * Returns the slow-start weight.
	 * @param nowNanos the current time in ns
	 * @return the weight, {@link #FIRST_WEIGHT} to 1
	 */
	public double weight(long nowNanos) {
		double part = (double) (nowNanos - this.slowStartFromNanos) / SLOW_START_NANOS;
		return Math.max(FIRST_WEIGHT, Math.min(1, part));
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

	private void settle(EndpointGrant grant) {
		if (grant == EndpointGrant.REFUSED) {
			throw Invariants.violated("a refused call was settled; it must not have been sent");
		}
		if (grant == EndpointGrant.PROBE) {
			if (!this.probing) {
				throw Invariants.violated("a half-open probe was settled twice");
			}
			this.probing = false;
		}
	}

	private void eject(long nowNanos, RandomGenerator random) {
		long backoff = Math.min(MAX_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(MAX_DOUBLINGS, this.ejections));
		double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
		this.ejected = true;
		this.ejections++;
		this.failuresInRow = 0;
		this.ejectedUntilNanos = nowNanos + (long) (backoff * jitter);
	}

}
