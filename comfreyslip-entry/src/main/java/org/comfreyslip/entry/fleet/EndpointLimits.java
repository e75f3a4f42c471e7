package org.comfreyslip.entry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.model.Endpoint;

/**
 * The request rates that endpoints state as their limits for all daemons together, and
 * this daemon's part in them.
 * <p>
 * A limit is learned from the endpoint's own responses and from other daemons, and is in
 * force until a response states another one or none. Daemons pass on only what responses
 * to their own requests stated, so that a statement does not become newer on its way
 * through several daemons.
 */
public final class EndpointLimits {

	/**
	 * Time without a statement after which a limit is forgotten, in ns. An endpoint that
	 * sent no response for so long has left or is not used.
	 */
	private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Time for which the end of a limit is remembered and passed on, in ns; several
	 * intervals of the messages between daemons.
	 */
	private static final long ENDED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * Part of the interval between two requests by which a request may be early, after an
	 * earlier one was late.
	 */
	private static final double BURST_TOLERANCE = 0.5;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final LimitSharing sharing;

	private final ReturnSchedule returns;

	private final Map<String, StatedLimit> limits = new HashMap<>();

	/**
	 * Creates a record without limits.
	 * @param daemon this daemon's name
	 * @param dataCentre this daemon's data centre
	 * @param nowNanos the current steady time in ns
	 */
	public EndpointLimits(String daemon, String dataCentre, long nowNanos) {
		this.sharing = new LimitSharing(daemon, dataCentre, nowNanos);
		this.returns = new ReturnSchedule(nowNanos);
	}

	/**
	 * Handles the head of an endpoint's response to a request of this daemon.
	 * @param id identity of the endpoint
	 * @param requestsPerSecond the limit that the response states; empty if it states
	 * none
	 * @param signed whether the response is proven to be the endpoint's own; only such a
	 * response can end a limit
	 * @param sentAtNanos steady time in ns at which the request was sent; a response to a
	 * request from before the last statement does not end the limit
	 * @param nowNanos the current steady time in ns
	 */
	public void onResponse(String id, OptionalDouble requestsPerSecond, boolean signed, long sentAtNanos,
			long nowNanos) {
		StatedLimit known = this.limits.get(id);
		boolean ends = requestsPerSecond.isEmpty() && signed && known != null && known.isInForce()
				&& sentAtNanos - known.statedAtNanos > 0;
		if (requestsPerSecond.isPresent() || ends) {
			apply(id, requestsPerSecond, Source.RESPONSE, nowNanos, nowNanos);
		}
	}

	/**
	 * Handles what another daemon's requests to an endpoint were told. Older statements
	 * than the known one are ignored.
	 * @param id identity of the endpoint
	 * @param statement the statement, with its age at its arrival
	 * @param nowNanos the current steady time in ns
	 */
	public void onPeerStatement(String id, Statement statement, long nowNanos) {
		long statedAtNanos = nowNanos - statement.ageNanos();
		StatedLimit known = this.limits.get(id);
		boolean isNews = (known != null) ? statedAtNanos - known.statedAtNanos > 0
				: statement.requestsPerSecond().isPresent();
		if (isNews) {
			apply(id, statement.requestsPerSecond(), Source.PEER, statedAtNanos, nowNanos);
		}
	}

	private void apply(String id, OptionalDouble requestsPerSecond, Source source, long statedAtNanos, long nowNanos) {
		StatedLimit limit = this.limits.computeIfAbsent(id, (key) -> new StatedLimit(nowNanos));
		OptionalDouble before = limit.requestsPerSecond;
		limit.requestsPerSecond = requestsPerSecond;
		limit.statedAtNanos = statedAtNanos;
		limit.source = source;
		if (source == Source.RESPONSE) {
			limit.ownStatement = requestsPerSecond;
			limit.ownStatedAtNanos = statedAtNanos;
			limit.hasOwnStatement = true;
		}
		if (!before.equals(requestsPerSecond)) {
			EntryLog.write(EntryEvent.ENDPOINT_LIMIT, id, "limit", describe(requestsPerSecond), "before",
					describe(before), "source", source, "age_ms",
					TimeUnit.NANOSECONDS.toMillis(nowNanos - statedAtNanos));
		}
	}

	private static String describe(OptionalDouble requestsPerSecond) {
		return (requestsPerSecond.isPresent()) ? Double.toString(requestsPerSecond.getAsDouble()) : "none";
	}

	/**
	 * Returns the statements to pass on to other daemons: the last one that each endpoint
	 * made to this daemon, unless a newer one differs.
	 * @param nowNanos the current steady time in ns
	 * @return the statements by identity of the endpoint; may be empty
	 */
	public Map<String, Statement> ownStatements(long nowNanos) {
		Map<String, Statement> statements = new HashMap<>();
		this.limits.forEach((id, limit) -> {
			if (limit.hasOwnStatement && limit.ownStatement.equals(limit.requestsPerSecond)) {
				statements.put(id, new Statement(limit.ownStatement, nowNanos - limit.ownStatedAtNanos));
			}
		});
		return statements;
	}

	/**
	 * Forgets limits that have not been stated for a long time. Called periodically.
	 * @param nowNanos the current steady time in ns
	 */
	public void removeExpired(long nowNanos) {
		this.limits.values().removeIf((limit) -> {
			long ageNanos = nowNanos - limit.statedAtNanos;
			return ageNanos > ((limit.isInForce()) ? RETENTION_NANOS : ENDED_RETENTION_NANOS);
		});
	}

	/**
	 * Replaces the set of other daemons, with which this one shares the limits. Called
	 * periodically.
	 * @param dataCentres the data centre of each other daemon that is alive, by name
	 * @param rejoining whether the others may have taken this daemon for dead since the
	 * last call
	 * @param settlingNanos time in ns after which a daemon that has just joined is known
	 * to all others
	 * @param nowNanos the current steady time in ns
	 */
	public void setPeers(Map<String, String> dataCentres, boolean rejoining, long settlingNanos, long nowNanos) {
		this.sharing.setPeers(dataCentres, rejoining, settlingNanos, nowNanos);
		this.limits.forEach((id, limit) -> logPart(id, limit, nowNanos));
	}

	/**
	 * Tells whether this daemon may send a request to an endpoint now. Any kind of
	 * request counts: first sends, repeats, resumed streams and calls for a report.
	 * @param endpoint the endpoint
	 * @param nowNanos the current steady time in ns
	 * @return whether the endpoint has stated no limit, or this daemon's part of it
	 * allows a request
	 */
	public boolean maySend(Endpoint endpoint, long nowNanos) {
		StatedLimit limit = this.limits.get(endpoint.id());
		if (limit == null || !limit.isInForce()) {
			return true;
		}
		limit.dataCentre = endpoint.dataCentre();
		double part = ownPart(endpoint.id(), limit, nowNanos);
		return part > 0 && nowNanos - limit.nextSendNanos >= -BURST_TOLERANCE * NANOS_PER_SECOND / part;
	}

	/**
	 * Records that a request was sent to an endpoint.
	 * @param id identity of the endpoint
	 * @param nowNanos the current steady time in ns
	 */
	public void recordSend(String id, long nowNanos) {
		StatedLimit limit = this.limits.get(id);
		if (limit == null || !limit.isInForce()) {
			return;
		}
		limit.sentCount++;
		double part = ownPart(id, limit, nowNanos);
		if (part > 0) {
			long latest = (nowNanos - limit.nextSendNanos > 0) ? nowNanos : limit.nextSendNanos;
			limit.nextSendNanos = latest + (long) (NANOS_PER_SECOND / part);
		}
	}

	/**
	 * Records that a request was not sent to an endpoint because of its limit.
	 * @param id identity of the endpoint
	 */
	public void recordHeldBack(String id) {
		this.limits.get(id).heldBackCount++;
	}

	// Returns this daemon's part of a limit, in requests per second; 0 if it has none.
	private double ownPart(String id, StatedLimit limit, long nowNanos) {
		return (limit.dataCentre.isEmpty()) ? 0 : this.sharing.part(id, limit.dataCentre,
				limit.requestsPerSecond.getAsDouble(), nowNanos - limit.statedAtNanos, nowNanos);
	}

	private void logPart(String id, StatedLimit limit, long nowNanos) {
		if (!limit.isInForce()) {
			return;
		}
		double part = ownPart(id, limit, nowNanos);
		if (part != limit.loggedPart) {
			limit.loggedPart = part;
			EntryLog.write(EntryEvent.ENDPOINT_LIMIT_PART, id, "limit", describe(limit.requestsPerSecond), "part", part,
					"daemons", this.sharing.daemonCount());
		}
	}

	/**
	 * Returns after what time a caller may retry a request that only limited endpoints
	 * could serve. This daemon's callers get its share of the places, since they may
	 * return to any daemon.
	 * @param endpoints the endpoints whose limits held the request back; not empty
	 * @param random source of random numbers
	 * @param nowNanos the current steady time in ns
	 * @return the time in ms
	 */
	public long retryAfterMs(List<Endpoint> endpoints, RandomGenerator random, long nowNanos) {
		double placesPerSecond = 0;
		for (Endpoint endpoint : endpoints) {
			placesPerSecond += LimitSharing.sharedRate(this.limits.get(endpoint.id()).requestsPerSecond.getAsDouble());
		}
		return this.returns.retryAfterMs(placesPerSecond / this.sharing.daemonCount(), random, nowNanos);
	}

	/**
	 * Tells whether any limit is in force.
	 * @return whether an endpoint has stated a limit that has not ended
	 */
	public boolean isAnyInForce() {
		return this.limits.values().stream().anyMatch(StatedLimit::isInForce);
	}

	/**
	 * Returns the limits in force, for the metrics.
	 * @param nowNanos the current steady time in ns
	 * @return the limits, in no particular order; may be empty
	 */
	public List<LimitState> states(long nowNanos) {
		List<LimitState> states = new ArrayList<>();
		this.limits.forEach((id,
				limit) -> limit.requestsPerSecond.ifPresent((rate) -> states.add(new LimitState(id, rate, limit.source,
						TimeUnit.NANOSECONDS.toMillis(nowNanos - limit.statedAtNanos), ownPart(id, limit, nowNanos),
						limit.sentCount, limit.heldBackCount))));
		return states;
	}

	/** How this daemon learned of a limit. */
	public enum Source {

		/** From a response to a request of this daemon. */
		RESPONSE,

		/** From another daemon. */
		PEER

	}

	/**
	 * What an endpoint stated in a response.
	 *
	 * @param requestsPerSecond the limit for all daemons together; empty if it has ended
	 * @param ageNanos time since the response arrived, in ns
	 */
	public record Statement(OptionalDouble requestsPerSecond, long ageNanos) {
	}

	/**
	 * A limit in force.
	 *
	 * @param id identity of the endpoint
	 * @param requestsPerSecond the limit for all daemons together
	 * @param source how this daemon learned of it last
	 * @param ageMs time since the endpoint stated it last, in ms
	 * @param part this daemon's part of it, in requests per second; 0 if it has none
	 * @param sentCount requests that this daemon has sent while a limit was in force
	 * @param heldBackCount requests that this daemon did not send because of a limit
	 */
	public record LimitState(String id, double requestsPerSecond, Source source, long ageMs, double part,
			long sentCount, long heldBackCount) {
	}

	/** What is known of an endpoint that has stated a limit. */
	private static final class StatedLimit {

		/** The limit, from the newest statement; empty if it has ended. */
		private OptionalDouble requestsPerSecond = OptionalDouble.empty();

		private long statedAtNanos;

		private Source source;

		private boolean hasOwnStatement;

		private OptionalDouble ownStatement = OptionalDouble.empty();

		private long ownStatedAtNanos;

		/** Data centre of the endpoint; empty until it is known. */
		private String dataCentre = "";

		/** Steady time in ns from which a request is not early. */
		private long nextSendNanos;

		/** This daemon's part when it was logged last, in requests per second. */
		private double loggedPart;

		private long sentCount;

		private long heldBackCount;

		StatedLimit(long nowNanos) {
			this.nextSendNanos = nowNanos;
		}

		boolean isInForce() {
			return this.requestsPerSecond.isPresent();
		}

	}

}
