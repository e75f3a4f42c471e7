package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.reach.EndpointReach;

/**
 * Runs the trial connections by which {@link EndpointReach} decides which services are
 * reached.
 */
final class ReachMonitor implements ConnectionObserver {

	private final ConnectionTrial trial;

	private final EndpointDirectory directory;

	private final Listener listener;

	private final EndpointReach reach;

	/** Services for which trials may be due. */
	private final Set<String> watched = new HashSet<>();

	ReachMonitor(EventLoop loop, EndpointDirectory directory, RandomGenerator random, Listener listener) {
		this.trial = new ConnectionTrial(loop);
		this.directory = directory;
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
	}

	private void startTrials(String service, long nowNanos) {
		List<String> usable = this.directory.usableEndpoints(service).stream().map(Endpoint::id).toList();
		for (String id : this.reach.takeTrials(service, usable, nowNanos)) {
			Optional<Endpoint> endpoint = this.directory.findUsable(id);
			this.listener.onTrial();
			this.trial.start(endpoint.get().address(),
					(opened) -> onTrialDone(service, id, opened, usable.size(), System.nanoTime()));
		}
	}

	private void onTrialDone(String service, String endpointId, boolean opened, int usableCount, long nowNanos) {
		boolean changed = this.reach.onTrialDone(service, endpointId, opened, usableCount, nowNanos);
		if (!changed) {
			startTrials(service, nowNanos);
			return;
		}
		if (this.reach.isLost(service)) {
			EntryLog.write(EntryEvent.SERVICE_LOST, service, "endpoints", usableCount);
			this.listener.onLost(service, nowNanos);
		}
		else {
			EntryLog.write(EntryEvent.SERVICE_REACHED, service, "endpoints", usableCount);
			this.listener.onReachedAgain(service, nowNanos);
		}
	}

	/** Acts on what the trials show. */
	interface Listener {

		/** A connection that a request needs could not be opened. */
		void onConnectFailed();

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

	}

}
