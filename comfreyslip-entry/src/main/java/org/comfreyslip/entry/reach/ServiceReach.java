package org.comfreyslip.entry.reach;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Whether this daemon reaches the endpoints of one service. A failed connection says as
 * much about the endpoint as about the network of this host, so it only raises a doubt.
 * Trial connections to several other endpoints decide: if none opens, the daemon is cut
 * off from the service, whether or not the endpoints are sound.
 */
final class ServiceReach {

	/** Number of endpoints to which trials settle a doubt. */
	static final int DECIDING_TRIALS = 3;

	/**
	 * Mean time between two trials while the service is lost, in ns: short against the
	 * time in which callers come back.
	 */
	static final long TRIAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Least time between the trials of two doubts, in ns; bounds their number while
	 * single endpoints fail.
	 */
	private static final long DOUBT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private State state = State.REACHED;

	/** Steady time in ns of the last doubt; valid only after the first one. */
	private long doubtedAtNanos;

	/** Steady time in ns of the last answer of an endpoint or successful trial. */
	private long lastContactNanos;

	/** Steady time in ns from which the next trials are due. */
	private long nextTrialNanos;

	/**
	 * Endpoints that were known when the service was lost, or whose trial failed since.
	 */
	private final Set<String> knownEndpoints = new HashSet<>();

	private final Set<String> runningTrials = new HashSet<>();

	/**
	 * Creates the state of a service that is reached.
	 * @param nowNanos the current steady time in ns
	 */
	ServiceReach(long nowNanos) {
		this.lastContactNanos = nowNanos;
		this.nextTrialNanos = nowNanos;
	}

	State state() {
		return this.state;
	}

	/**
	 * Records a sign that endpoints may be out of reach.
	 * @param nowNanos the current steady time in ns
	 */
	void doubt(long nowNanos) {
		if (this.state == State.REACHED) {
			this.state = State.DOUBTED;
			this.doubtedAtNanos = nowNanos;
		}
	}

	/**
	 * Records an answer of an endpoint. Only one on a connection that was opened since
	 * the doubt shows that new connections open.
	 * @param openedAtNanos steady time in ns at which its connection was opened
	 * @param nowNanos the current steady time in ns
	 * @return whether the answer settles the doubt
	 */
	boolean onAnswer(long openedAtNanos, long nowNanos) {
		this.lastContactNanos = nowNanos;
		if (this.state != State.DOUBTED || openedAtNanos - this.doubtedAtNanos < 0) {
			return false;
		}
		this.state = State.REACHED;
		return true;
	}

	void onContact(long nowNanos) {
		this.lastContactNanos = nowNanos;
	}

	/**
	 * Returns how long no endpoint has answered.
	 * @param nowNanos the current steady time in ns
	 * @return the time since the last answer or successful trial, in ns
	 */
	long silenceNanos(long nowNanos) {
		return nowNanos - this.lastContactNanos;
	}

	/**
	 * Returns the endpoints to which trials are to start now.
	 * @param usable identities of the endpoints of the service; may be empty
	 * @param random source of the choice, so that daemons do not try the same endpoints
	 * @param nowNanos the current steady time in ns
	 * @return the identities; may be empty
	 */
	List<String> takeTrials(List<String> usable, RandomGenerator random, long nowNanos) {
		if (!this.runningTrials.isEmpty() || this.state == State.REACHED) {
			return List.of();
		}
		List<String> candidates = new ArrayList<>(usable);
		if (hasUntried(usable)) {
			// An endpoint has started since, and may be the first one to come back.
			candidates.removeAll(this.knownEndpoints);
		}
		else if (nowNanos - this.nextTrialNanos < 0) {
			return List.of();
		}
		List<String> chosen = new ArrayList<>();
		int count = (this.state == State.LOST) ? 1 : DECIDING_TRIALS;
		while (chosen.size() < count && !candidates.isEmpty()) {
			chosen.add(candidates.remove(random.nextInt(candidates.size())));
		}
		this.runningTrials.addAll(chosen);
		this.nextTrialNanos = nowNanos + DOUBT_INTERVAL_NANOS;
		return chosen;
	}

	/**
	 * Tells whether an endpoint has started during a loss, which may be reached.
	 * @param usable identities of the endpoints of the service; may be empty
	 * @return whether the service is lost and one of them has not been tried since
	 */
	boolean hasUntried(Collection<String> usable) {
		return this.state == State.LOST && !this.knownEndpoints.containsAll(usable);
	}

	/**
	 * Records the result of a trial.
	 * @param endpoint identity of the endpoint
	 * @param opened whether the connection opened and stayed open
	 * @param usable identities of the endpoints of the service
	 * @param random source of the time of the next trial
	 * @param nowNanos the current steady time in ns
	 */
	void onTrialDone(String endpoint, boolean opened, Collection<String> usable, RandomGenerator random,
			long nowNanos) {
		this.runningTrials.remove(endpoint);
		this.knownEndpoints.add(endpoint);
		if (opened) {
			this.lastContactNanos = nowNanos;
			this.state = State.REACHED;
		}
		else if (this.runningTrials.isEmpty() && this.state != State.REACHED) {
			if (this.state == State.DOUBTED) {
				this.state = State.LOST;
				this.knownEndpoints.clear();
				this.knownEndpoints.addAll(usable);
			}
			scheduleTrial(random, nowNanos);
		}
	}

	// The times are spread, so that daemons whose loss ends at the same moment do not
	// return together.
	private void scheduleTrial(RandomGenerator random, long nowNanos) {
		this.nextTrialNanos = nowNanos + (long) (TRIAL_INTERVAL_NANOS * (0.5 + random.nextDouble()));
	}

	/** What is known of the way to the endpoints. */
	enum State {

		/** Nothing speaks against it. */
		REACHED,

		/** A connection failed or an endpoint is silent, and trials are running. */
		DOUBTED,

		/** No trial opened a connection. */
		LOST

	}

}
