package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.Route;

/**
 * The sends of one request so far, and the limits on further ones.
 */
final class SendAttempts {

	/** Largest number of sends of one request, including those that endpoints refuse. */
	private static final int MAX_SENDS = 5;

	/**
	 * Largest number of sends of a stream that has started; more than {@link #MAX_SENDS}
	 * because its caller has part of the response.
	 */
	private static final int MAX_STREAM_SENDS = 12;

	private final Predicate<String> hasFailed;

	/** Whether another daemon passed the request on. */
	private final boolean ofOtherDaemon;

	/** Number of endpoints that may have run the request at another daemon. */
	private final int triedElsewhere;

	/** Endpoints to which the request is not sent again, until it is suspended. */
	private final Set<String> excluded = new HashSet<>();

	/** Endpoints that may have run the request; counted against the route's limit. */
	private final Set<String> mayHaveRun = new HashSet<>();

	/** Names of the daemons that the request was passed on to. */
	private final Set<String> triedDaemons = new HashSet<>();

	/** Targets of all sends so far, in their order, for the log. */
	private final List<String> sentTo = new ArrayList<>();

	/** Connections of all sends so far. */
	private final Set<EndpointConnection> connections = new HashSet<>();

	/** Whether an endpoint may have run the request, so that its outcome is unknown. */
	private boolean outcomeUnknown;

	/**
	 * Creates the attempts of a request that has just arrived.
	 * @param envelope what the daemon that passed the request on states; empty if a
	 * caller sent it
	 * @param hasFailed tells by its identity whether an endpoint's process has ended
	 * unexpectedly; endpoints that left as planned still count against the limits of
	 * routes, whether or not they have exited
	 */
	SendAttempts(Optional<RelayEnvelope> envelope, Predicate<String> hasFailed) {
		this.hasFailed = hasFailed;
		this.ofOtherDaemon = envelope.isPresent();
		this.triedElsewhere = envelope.map((one) -> one.triedEndpoints().size()).orElse(0);
		this.outcomeUnknown = envelope.filter(RelayEnvelope::mayHaveRun).isPresent();
		envelope.ifPresent((one) -> this.mayHaveRun.addAll(one.triedEndpoints()));
	}

	/**
	 * Records that a send starts.
	 * @param target its target
	 */
	void onSend(SendTarget target) {
		this.sentTo.add(target.label());
		target.daemon().ifPresent((daemon) -> this.triedDaemons.add(daemon.name()));
	}

	/**
	 * Records the connection that carries a send.
	 * @param connection the connection
	 */
	void recordConnection(EndpointConnection connection) {
		this.connections.add(connection);
	}

	/**
	 * Tells whether a connection has carried a send of the request.
	 * @param connection the connection
	 * @return whether it has
	 */
	boolean hasUsed(EndpointConnection connection) {
		return this.connections.contains(connection);
	}

	/**
	 * Tells whether the request has been sent to a target.
	 * @return whether a send has started
	 */
	boolean hasSent() {
		return !this.sentTo.isEmpty();
	}

	/**
	 * Excludes an endpoint from further sends.
	 * @param endpointId identity of the endpoint
	 */
	void exclude(String endpointId) {
		this.excluded.add(endpointId);
	}

	/** Allows all endpoints and daemons again, since the request waits for a path. */
	void readmitAll() {
		this.excluded.clear();
		this.triedDaemons.clear();
	}

	/**
	 * Records that a target may have run the request, which counts against the route's
	 * limit.
	 * @param target the target
	 */
	void recordRun(SendTarget target) {
		this.mayHaveRun.add(target.label());
	}

	/** Records that the outcome of a send is unknown. */
	void recordUnknownOutcome() {
		this.outcomeUnknown = true;
	}

	/**
	 * Tells whether an endpoint may have run the request, so that the caller must not be
	 * told that it has not run.
	 * @return whether the outcome of a send is unknown
	 */
	boolean isOutcomeUnknown() {
		return this.outcomeUnknown;
	}

	boolean isOfOtherDaemon() {
		return this.ofOtherDaemon;
	}

	/**
	 * Tells whether an endpoint may have run the request that this daemon sent to it.
	 * @return whether there are more than those that another daemon stated
	 */
	boolean hasRunHere() {
		return this.mayHaveRun.size() > this.triedElsewhere;
	}

	/**
	 * Returns how many endpoints may have run the request.
	 * @return the number, including endpoints that have ended since
	 */
	int runCount() {
		return this.mayHaveRun.size();
	}

	/**
	 * Tells whether one more send is allowed, whatever its target.
	 * @param streamStarted whether the caller has part of the response
	 * @return whether the limit on sends is not reached
	 */
	boolean hasSendsLeft(boolean streamStarted) {
		return this.sentTo.size() < ((streamStarted) ? MAX_STREAM_SENDS : MAX_SENDS);
	}

	/**
	 * Tells whether an endpoint that has not run the request may run it. Endpoints whose
	 * process has ended unexpectedly since do not count against the route's limit.
	 * @param route the route of the request
	 * @return whether the route's limit is not reached
	 */
	boolean hasRunsLeft(Route route) {
		long counted = this.mayHaveRun.stream().filter((id) -> !this.hasFailed.test(id)).count();
		return counted < route.maxAttempts();
	}

	/**
	 * Tells whether the request may be sent once more after a send with an unknown
	 * outcome. The route's limit ends no stream that has started.
	 * @param route the route of the request
	 * @param streamStarted whether the caller has part of the response
	 * @return whether it may
	 */
	boolean mayRepeat(Route route, boolean streamStarted) {
		return (hasRunsLeft(route) || streamStarted) && hasSendsLeft(streamStarted);
	}

	/**
	 * Tells whether an endpoint is not excluded.
	 * @param endpoint the endpoint
	 * @return whether the request may be sent to it
	 */
	boolean isAllowed(Endpoint endpoint) {
		return !this.excluded.contains(endpoint.id());
	}

	/**
	 * Tells whether an endpoint may be the first stage of a path. Once the route's limit
	 * of attempts is reached, only endpoints that may have run the request before may run
	 * it again.
	 * @param first the endpoint
	 * @param route the route of the request
	 * @return whether it may
	 */
	boolean mayBeFirstStage(Endpoint first, Route route) {
		return isAllowed(first) && (hasRunsLeft(route) || this.mayHaveRun.contains(first.id()));
	}

	/**
	 * Tells whether an endpoint that may have run the request has ended unexpectedly
	 * since, so that the request may be the cause.
	 * @return whether one has
	 */
	boolean hasEndedEndpoint() {
		return this.mayHaveRun.stream().anyMatch(this.hasFailed);
	}

	/**
	 * Tells whether an endpoint other than the given one has ended unexpectedly after it
	 * may have run the request.
	 * @param endpointId identity of the endpoint that does not count
	 * @return whether another one has
	 */
	boolean hasEndedEndpointBesides(String endpointId) {
		return this.mayHaveRun.stream().anyMatch((id) -> !id.equals(endpointId) && this.hasFailed.test(id));
	}

	/**
	 * Returns the endpoints that are excluded from further sends.
	 * @return a view of their identities
	 */
	Collection<String> excluded() {
		return Collections.unmodifiableSet(this.excluded);
	}

	/**
	 * Returns the daemons to which the request was passed on.
	 * @return a view of their names
	 */
	Collection<String> triedDaemons() {
		return Collections.unmodifiableSet(this.triedDaemons);
	}

	/**
	 * Returns what to state of the request when it is passed on to another daemon.
	 * @param configurationVersion version of the configuration under which it was
	 * admitted
	 * @return the envelope
	 */
	RelayEnvelope envelope(long configurationVersion) {
		return RelayEnvelope.of(configurationVersion, this.outcomeUnknown, this.mayHaveRun);
	}

	/**
	 * Describes the sends for the log.
	 * @return their number and targets
	 */
	String describe() {
		return "sends=" + this.sentTo.size() + " endpoints=" + this.sentTo;
	}

}
