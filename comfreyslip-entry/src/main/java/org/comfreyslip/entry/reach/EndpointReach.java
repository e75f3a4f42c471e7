package org.comfreyslip.entry.reach;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Which services' endpoints this daemon reaches.
 */
public final class EndpointReach {

	/**
	 * Time after the first trials of a doubt at which further ones may be due, in ns.
	 */
	public static final long EXTENSION_NANOS = ServiceReach.EXTENSION_NANOS;

	private final Map<String, ServiceReach> services = new HashMap<>();

	private final RandomGenerator random;

	/** Steady time in ns of the last new connection that proves this host's network. */
	private long lastProofNanos;

	private boolean proven;

	/**
	 * Creates a record in which all services are reached.
	 * @param random source of the choice and the times of trials
	 */
	public EndpointReach(RandomGenerator random) {
		this.random = random;
	}

	private ServiceReach of(String service, long nowNanos) {
		return this.services.computeIfAbsent(service, (name) -> new ServiceReach(nowNanos));
	}

	/**
	 * Records a sign that the endpoints of a service may be out of reach: a connection
	 * failed, opens slowly, or was closed without an answer.
	 * @param service name of the service
	 * @param nowNanos the current steady time in ns
	 */
	public void doubt(String service, long nowNanos) {
		of(service, nowNanos).doubt(nowNanos);
	}

	/**
	 * Records an answer of an endpoint.
	 * @param service name of the service
	 * @param openedAtNanos steady time in ns at which its connection was opened
	 * @param nowNanos the current steady time in ns
	 */
	public void onAnswer(String service, long openedAtNanos, long nowNanos) {
		if (of(service, nowNanos).onAnswer(openedAtNanos, nowNanos)) {
			onProof(openedAtNanos);
		}
	}

	/**
	 * Records that bytes of an answer arrived, on any connection.
	 * @param service name of the service
	 * @param nowNanos the current steady time in ns
	 */
	public void onContact(String service, long nowNanos) {
		of(service, nowNanos).onContact(nowNanos);
	}

	/**
	 * Returns how long no endpoint of a service has answered.
	 * @param service name of the service
	 * @param nowNanos the current steady time in ns
	 * @return the time since the last answer or successful trial, in ns
	 */
	public long silenceNanos(String service, long nowNanos) {
		return of(service, nowNanos).silenceNanos(nowNanos);
	}

	/**
	 * Returns the endpoints to which trial connections are to be opened now.
	 * @param service name of the service
	 * @param usable identities of its endpoints that are worth a trial; may be empty
	 * @param nowNanos the current steady time in ns
	 * @return the identities; each must be followed by a result
	 */
	public List<String> takeTrials(String service, List<String> usable, long nowNanos) {
		return takeTrials(service, usable, (id) -> false, nowNanos);
	}

	/**
	 * Returns the endpoints to which trial connections are to be opened now, as far as
	 * possible such that have not failed lately.
	 * @param service name of the service
	 * @param usable identities of its endpoints; may be empty
	 * @param avoided tells whether an endpoint has failed lately
	 * @param nowNanos the current steady time in ns
	 * @return the identities; each must be followed by a result
	 */
	public List<String> takeTrials(String service, List<String> usable, Predicate<String> avoided, long nowNanos) {
		return of(service, nowNanos).takeTrials(usable, avoided, this.random, nowNanos);
	}

	/**
	 * Records the result of a trial.
	 * @param service name of the service
	 * @param endpoint identity of the endpoint
	 * @param opened whether the connection opened and stayed open
	 * @param usable identities of the endpoints of the service
	 * @param nowNanos the current steady time in ns
	 * @return whether the service was lost or is reached again by this result
	 */
	public boolean onTrialDone(String service, String endpoint, boolean opened, Collection<String> usable,
			long nowNanos) {
		boolean lostBefore = isLost(service);
		of(service, nowNanos).onTrialDone(endpoint, opened, usable, this.random, nowNanos);
		return isLost(service) != lostBefore;
	}

	/**
	 * Returns the number of endpoints of a service that failed a trial during its last
	 * doubt.
	 * @param service name of the service
	 * @return the number
	 */
	public int failedTrialCount(String service) {
		ServiceReach reach = this.services.get(service);
		return (reach != null) ? reach.failedTrialCount() : 0;
	}

	/**
	 * Records that a connection to an endpoint of any service has opened.
	 * @param openedAtNanos when it opened, in steady ns
	 */
	public void onProof(long openedAtNanos) {
		this.lastProofNanos = (this.proven) ? Math.max(this.lastProofNanos, openedAtNanos) : openedAtNanos;
		this.proven = true;
	}

	/**
	 * Tells whether a new connection has proved good since a time, so that a connection
	 * refused at that time is due to the endpoint and not to this host's network.
	 * @param sinceNanos the time, in steady ns
	 * @return whether one has
	 */
	public boolean isProvenSince(long sinceNanos) {
		return this.proven && this.lastProofNanos - sinceNanos > 0;
	}

	/**
	 * Tells whether no endpoint of a service can be reached.
	 * @param service name of the service
	 * @return whether the trials failed
	 */
	public boolean isLost(String service) {
		ServiceReach reach = this.services.get(service);
		return reach != null && reach.state() == ServiceReach.State.LOST;
	}

	/**
	 * Tells whether an endpoint of a lost service has started since the loss.
	 * @param service name of the service
	 * @param usable identities of its endpoints; may be empty
	 * @return whether one of them has not been tried
	 */
	public boolean hasUntried(String service, Collection<String> usable) {
		ServiceReach reach = this.services.get(service);
		return reach != null && reach.hasUntried(usable);
	}

	/**
	 * Tells whether what this daemon says of the endpoints of a service counts.
	 * @param service name of the service
	 * @return whether there is neither a loss nor a doubt
	 */
	public boolean isReliable(String service) {
		ServiceReach reach = this.services.get(service);
		return reach == null || reach.state() == ServiceReach.State.REACHED;
	}

	/**
	 * Returns the services none of whose endpoints can be reached.
	 * @return their names in alphabetical order; may be empty
	 */
	public List<String> lostServices() {
		return this.services.keySet().stream().filter(this::isLost).sorted().toList();
	}

}
