package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.reach.EndpointReach;
import org.comfreyslip.entry.reach.RefusedConnections;

/**
 * Runs the trial connections by which {@link EndpointReach} decides which services are
 * reached, and reports the endpoints that have ended.
 */
final class ReachMonitor implements ConnectionObserver {

	/**
	 * Failed trials of a doubt from which its end is logged if the service is reached.
	 */
	private static final int MANY_FAILURES = 3;

	private final EventLoop loop;

	private final ConnectionTrial trial;

	private final EndpointDirectory directory;

	private final RandomGenerator random;

	private final RequestLog log;

	private final Listener listener;

	private final EndpointReach reach;

	private final RefusedConnections refused = new RefusedConnections();

	/** Services for which trials may be due. */
	private final Set<String> watched = new HashSet<>();

	ReachMonitor(EventLoop loop, EndpointDirectory directory, RandomGenerator random, RequestLog log,
			Listener listener) {
		this.loop = loop;
		this.trial = new ConnectionTrial(loop);
		this.directory = directory;
		this.random = random;
		this.log = log;
		this.listener = listener;
		this.reach = new EndpointReach(random);
	}

	EndpointReach reach() {
		return this.reach;
	}

	@Override
	public void onConnectFailed(ConnectionTarget target, ConnectFailure failure) {
		EntryLog.write(EntryEvent.CONNECT_FAILED, target.id(), "why", failure, "address", target.address());
		this.listener.onConnectFailed();
		doubtEndpoint(target.id(), System.nanoTime());
	}

	@Override
	public void onClosedUnanswered(ConnectionTarget target) {
		doubtEndpoint(target.id(), System.nanoTime());
	}

	@Override
	public void onAnswer(ConnectionTarget target, long openedAtNanos) {
		long now = System.nanoTime();
		serviceOf(target.id()).ifPresent((service) -> this.reach.onAnswer(service, openedAtNanos, now));
		reportEnded(now);
	}

	@Override
	public void onStrayBytes(ConnectionTarget target, StrayBytes kind, int count, String attemptId) {
		this.log.recordStrayBytes(attemptId, target.id(), kind, count);
	}

	private Optional<String> serviceOf(String endpointId) {
		return this.directory.findUsable(endpointId).map(Endpoint::service);
	}

	private void doubtEndpoint(String endpointId, long nowNanos) {
		serviceOf(endpointId).ifPresent((service) -> doubt(service, nowNanos));
	}

	/**
	 * Starts trials, unless some are running, because endpoints of a service may be out
	 * of reach.
	 * @param service name of the service
	 * @param nowNanos the current steady time in ns
	 */
	void doubt(String service, long nowNanos) {
		this.reach.doubt(service, nowNanos);
		this.watched.add(service);
		startTrials(service, nowNanos);
	}

	/**
	 * Records that an endpoint refused a connection. It is reported as ended once another
	 * connection shows that this daemon is not cut off.
	 * @param endpoint the endpoint
	 * @param nowNanos the current steady time in ns
	 */
	void onRefused(Endpoint endpoint, long nowNanos) {
		this.refused.add(endpoint, nowNanos);
		doubt(endpoint.service(), nowNanos);
	}

	/**
	 * Starts the trials that are due. Called periodically.
	 * @param nowNanos the current steady time in ns
	 */
	void update(long nowNanos) {
		for (String service : new ArrayList<>(this.watched)) {
			startTrials(service, nowNanos);
			if (this.reach.isReliable(service)) {
				this.watched.remove(service);
			}
		}
		reportEnded(nowNanos);
	}

	private void startTrials(String service, long nowNanos) {
		List<String> usable = this.directory.usableEndpoints(service).stream().map(Endpoint::id).toList();
		List<String> started = this.reach.takeTrials(service, usable, (id) -> this.listener.isAvoided(id, nowNanos),
				nowNanos);
		for (String id : started) {
			Optional<Endpoint> endpoint = this.directory.findUsable(id);
			this.listener.onTrial();
			this.trial.start(endpoint.get().address(), this::onOpened,
					(opened) -> onTrialDone(service, id, opened, usable, System.nanoTime()));
		}
		if (!started.isEmpty() && !this.reach.isLost(service)) {
			this.loop.schedule(() -> startTrials(service, System.nanoTime()), EndpointReach.EXTENSION_NANOS,
					TimeUnit.NANOSECONDS);
		}
	}

	private void onTrialDone(String service, String endpointId, boolean opened, List<String> usable, long nowNanos) {
		boolean reliableBefore = this.reach.isReliable(service);
		boolean changed = this.reach.onTrialDone(service, endpointId, opened, usable, nowNanos);
		reportEnded(nowNanos);
		logClearedDoubt(service, usable.size(), !reliableBefore && !changed);
		if (!changed) {
			startTrials(service, nowNanos);
			return;
		}
		if (this.reach.isLost(service)) {
			EntryLog.write(EntryEvent.SERVICE_LOST, service, "endpoints", usable.size());
			tryOtherService(service);
			this.listener.onLost(service, nowNanos);
		}
		else {
			EntryLog.write(EntryEvent.SERVICE_REACHED, service, "endpoints", usable.size());
			this.listener.onReachedAgain(service, nowNanos);
		}
	}

	private void logClearedDoubt(String service, int endpointCount, boolean doubted) {
		int failed = this.reach.failedTrialCount(service);
		if (doubted && this.reach.isReliable(service) && failed >= MANY_FAILURES) {
			EntryLog.write(EntryEvent.SERVICE_DOUBT_CLEARED, service, "failed_trials", failed, "endpoints",
					endpointCount);
		}
	}

	// If an endpoint of another service can be reached, those of the lost one have
	// ended.
	private void tryOtherService(String lost) {
		List<Endpoint> others = this.directory.usableEndpoints()
			.stream()
			.filter((one) -> !one.service().equals(lost) && !this.reach.isLost(one.service()))
			.toList();
		if (this.refused.isEmpty() || others.isEmpty()) {
			return;
		}
		this.listener.onTrial();
		this.trial.start(others.get(this.random.nextInt(others.size())).address(), this::onOpened, (opened) -> {
		});
	}

	private void onOpened() {
		long now = System.nanoTime();
		this.reach.onProof(now);
		reportEnded(now);
	}

	private void reportEnded(long nowNanos) {
		this.refused.takeEnded(this.reach, nowNanos).forEach((one) -> this.listener.onEnded(one, nowNanos));
	}

	/** Acts on what the trials show. */
	interface Listener {

		/** A connection that a request needs could not be opened. */
		void onConnectFailed();

		/**
		 * Tells whether an endpoint has failed lately, so that a trial of another one
		 * says more.
		 * @param endpointId identity of the endpoint
		 * @param nowNanos the current steady time in ns
		 * @return whether it is avoided
		 */
		boolean isAvoided(String endpointId, long nowNanos);

		/** A trial connection is opened. */
		void onTrial();

		/**
		 * No endpoint of a service can be reached any more.
		 * @param service name of the service
		 * @param nowNanos the current steady time in ns
		 */
		void onLost(String service, long nowNanos);

		/**
		 * Endpoints of a service can be reached again.
		 * @param service name of the service
		 * @param nowNanos the current steady time in ns
		 */
		void onReachedAgain(String service, long nowNanos);

		/**
		 * The process of an endpoint has ended.
		 * @param endpoint the endpoint
		 * @param nowNanos the current steady time in ns
		 */
		void onEnded(Endpoint endpoint, long nowNanos);

	}

}
