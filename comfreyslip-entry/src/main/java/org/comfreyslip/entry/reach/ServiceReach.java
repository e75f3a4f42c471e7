package org.comfreyslip.entry.reach;

import java.util.ArrayList;
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

	/** Number of endpoints that must be reached, one after the other, after a loss. */
	static final int RESTORING_TRIALS = 2;

	/**
	 * Mean time between two trials while the service is lost, in ns: short against the
	 * time in which callers come back.
	 */
	static final long TRIAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Least time between two doubts, in ns; bounds the trials while single endpoints
	 * fail.
	 */
	private static final long DOUBT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private State state = State.REACHED;

	/** Steady time in ns of the last doubt; valid only after the first one. */
	private long doubtedAtNanos;

	private boolean everDoubted;

	/** Steady time in ns of the last answer of an endpoint or successful trial. */
	private long lastContactNanos;

	/** Steady time in ns from which the next trial during a loss is due. */
	private long nextTrialNanos;

	private final Set<String> runningTrials = new HashSet<>();

	/** Endpoints reached one after the other since the loss. */
	private final Set<String> restored = new HashSet<>();

	/**
	 * Creates the state of a service that is reached.
	 * @param nowNanos the current steady time in ns
	 */
	ServiceReach(long nowNanos) {
		this.lastContactNanos = nowNanos;
	}

	State state() {
		return this.state;
	}

	/**
	 * Records a sign that endpoints may be out of reach.
	 * @param nowNanos the current steady time in ns
	 */
	void doubt(long nowNanos) {
		boolean recent = this.everDoubted && nowNanos - this.doubtedAtNanos < DOUBT_INTERVAL_NANOS;
		if (this.state == State.REACHED && !recent) {
			this.state = State.DOUBTED;
			this.everDoubted = true;
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
		if (!this.runningTrials.isEmpty() || usable.isEmpty() || !isTrialDue(nowNanos)) {
			return List.of();
		}
		List<String> candidates = new ArrayList<>(usable);
		candidates.removeAll(this.restored);
		List<String> chosen = new ArrayList<>();
		int count = (this.state == State.LOST) ? 1 : DECIDING_TRIALS;
		while (chosen.size() < count && !candidates.isEmpty()) {
			chosen.add(candidates.remove(random.nextInt(candidates.size())));
		}
		this.runningTrials.addAll(chosen);
		return chosen;
	}

	private boolean isTrialDue(long nowNanos) {
		return switch (this.state) {
			case REACHED -> false;
			case DOUBTED -> true;
			case LOST -> nowNanos - this.nextTrialNanos >= 0;
		};
	}

	/**
	 * Records the result of a trial.
	 * @param endpoint identity of the endpoint
	 * @param opened whether the connection opened and stayed open
	 * @param usableCount number of endpoints of the service
	 * @param random source of the time of the next trial
	 * @param nowNanos the current steady time in ns
	 * @return whether the state has changed
	 */
	boolean onTrialDone(String endpoint, boolean opened, int usableCount, RandomGenerator random, long nowNanos) {
		State before = this.state;
		this.runningTrials.remove(endpoint);
		if (opened) {
			this.lastContactNanos = nowNanos;
		}
		if (before == State.DOUBTED) {
			settleDoubt(opened, random, nowNanos);
		}
		else if (before == State.LOST) {
			onTrialDuringLoss(endpoint, opened, usableCount, random, nowNanos);
		}
		return this.state != before;
	}

	private void settleDoubt(boolean opened, RandomGenerator random, long nowNanos) {
		if (opened) {
			this.state = State.REACHED;
		}
		else if (this.runningTrials.isEmpty()) {
			this.state = State.LOST;
			this.restored.clear();
			scheduleTrial(random, nowNanos);
		}
	}

	private void onTrialDuringLoss(String endpoint, boolean opened, int usableCount, RandomGenerator random,
			long nowNanos) {
		if (!opened) {
			this.restored.clear();
			scheduleTrial(random, nowNanos);
			return;
		}
		this.restored.add(endpoint);
		this.nextTrialNanos = nowNanos;
		if (this.restored.size() >= Math.min(RESTORING_TRIALS, usableCount)) {
			this.restored.clear();
			this.state = State.REACHED;
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
