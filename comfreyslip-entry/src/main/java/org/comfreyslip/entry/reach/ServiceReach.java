package org.comfreyslip.entry.reach;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Whether this daemon reaches the endpoints of one service. A failed connection says as
 * much about the endpoint as about the network of this host, so it only raises a doubt.
 * Trial connections to several other endpoints decide: if none opens, the daemon is cut
 * off from the service, whether or not the endpoints are sound. So many are tried that a
 * loss is far more likely than the failure of all of them, also while a third of the
 * endpoints have failed.
 */
final class ServiceReach {

	/**
	 * Number of endpoints that are tried first; if one of them opens, the doubt is
	 * settled. Also the least number of failures that decide, as far as there are as many
	 * endpoints.
	 */
	static final int DECIDING_TRIALS = 3;

	/**
	 * Largest number of failures that are needed. Random trials of so many endpoints all
	 * fail with a probability below 3 in 10^8 if a third of the endpoints have failed.
	 */
	static final int MAX_DECIDING_TRIALS = 16;

	/**
	 * Time after the first trials of a doubt at which more endpoints are tried if none
	 * has opened, in ns. A sound connection opens and stays open for 50 ms by then.
	 * Together with the 300 ms of a trial it leaves 40 ms of the 400 ms within which a
	 * loss must be known.
	 */
	static final long EXTENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

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

	/** Endpoints with a trial of the present doubt or loss. */
	private final Set<String> runningTrials = new HashSet<>();

	/** Endpoints whose trial failed during the present doubt. */
	private final Set<String> failedTrials = new HashSet<>();

	/**
	 * Endpoints with a trial of an earlier doubt. Its result does not count: that an
	 * endpoint is silent was known when the earlier doubt was settled.
	 */
	private final Set<String> outdatedTrials = new HashSet<>();

	/** Steady time in ns of the first trials of the present doubt. */
	private long firstTrialsNanos;

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
			this.outdatedTrials.addAll(this.runningTrials);
			this.runningTrials.clear();
			this.failedTrials.clear();
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
	 * @param avoided tells whether an endpoint has failed lately; such endpoints are
	 * tried last
	 * @param random source of the choice, so that daemons do not try the same endpoints
	 * @param nowNanos the current steady time in ns
	 * @return the identities; may be empty
	 */
	List<String> takeTrials(List<String> usable, Predicate<String> avoided, RandomGenerator random, long nowNanos) {
		int count = countToStart(usable, nowNanos);
		if (count <= 0) {
			return List.of();
		}
		List<String> candidates = new ArrayList<>(usable);
		if (hasUntried(usable)) {
			// An endpoint has started since, and may be the first one to come back.
			candidates.removeAll(this.knownEndpoints);
		}
		candidates.removeAll(this.runningTrials);
		candidates.removeAll(this.outdatedTrials);
		if (this.state == State.DOUBTED) {
			candidates.removeAll(this.failedTrials);
		}
		List<String> chosen = choose(candidates, avoided, count, random);
		if (!chosen.isEmpty()) {
			this.runningTrials.addAll(chosen);
			this.nextTrialNanos = nowNanos + DOUBT_INTERVAL_NANOS;
		}
		return chosen;
	}

	private int countToStart(List<String> usable, long nowNanos) {
		boolean due = nowNanos - this.nextTrialNanos >= 0;
		return switch (this.state) {
			case REACHED -> 0;
			case LOST -> (this.runningTrials.isEmpty() && (due || hasUntried(usable))) ? 1 : 0;
			case DOUBTED -> countForDoubt(usable.size(), due, nowNanos);
		};
	}

	private int countForDoubt(int endpointCount, boolean due, long nowNanos) {
		int started = this.runningTrials.size() + this.failedTrials.size();
		if (started == 0) {
			this.firstTrialsNanos = nowNanos;
			return (due) ? DECIDING_TRIALS : 0;
		}
		boolean extended = this.runningTrials.isEmpty() || nowNanos - this.firstTrialsNanos >= EXTENSION_NANOS;
		return (extended) ? decidingTrials(endpointCount) - started : 0;
	}

	// Returns the number of failures that decide: more than a third of the endpoints.
	// Bytes of answers that arrive meanwhile speak against a loss, so that more than two
	// thirds are needed then.
	private int decidingTrials(int endpointCount) {
		int parts = (this.lastContactNanos - this.doubtedAtNanos > 0) ? 2 : 1;
		return Math.min(Math.max(parts * endpointCount / 3 + 1, DECIDING_TRIALS), parts * MAX_DECIDING_TRIALS);
	}

	private static List<String> choose(List<String> candidates, Predicate<String> avoided, int count,
			RandomGenerator random) {
		List<String> chosen = new ArrayList<>();
		List<String> preferred = new ArrayList<>(candidates);
		preferred.removeIf(avoided);
		candidates.removeAll(preferred);
		while (chosen.size() < count && !(preferred.isEmpty() && candidates.isEmpty())) {
			List<String> source = (preferred.isEmpty()) ? candidates : preferred;
			chosen.add(source.remove(random.nextInt(source.size())));
		}
		return chosen;
	}

	/**
	 * Returns the number of endpoints that failed a trial during the present doubt.
	 * @return the number; the one of the last doubt if there is none now
	 */
	int failedTrialCount() {
		return this.failedTrials.size();
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
		if (this.outdatedTrials.remove(endpoint)) {
			return;
		}
		this.knownEndpoints.add(endpoint);
		this.runningTrials.remove(endpoint);
		if (opened) {
			this.lastContactNanos = nowNanos;
			this.state = State.REACHED;
			return;
		}
		if (this.state == State.DOUBTED) {
			this.failedTrials.add(endpoint);
			if (hasDecidingFailures(usable)) {
				this.state = State.LOST;
				this.knownEndpoints.clear();
				this.knownEndpoints.addAll(usable);
			}
		}
		if (this.state == State.LOST) {
			scheduleTrial(random, nowNanos);
		}
	}

	private boolean hasDecidingFailures(Collection<String> usable) {
		return this.runningTrials.isEmpty()
				&& (this.failedTrials.size() >= decidingTrials(usable.size()) || this.failedTrials.containsAll(usable));
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
