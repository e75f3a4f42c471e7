package org.comfreyslip.entry.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Measured service times of plain endpoints, and which of them fail too often.
 */
final class EndpointSpeeds {

	/** Assumed service time before the first sample, in ms. */
	private static final double INITIAL_TIME_MS = 20;

	/** Slots of an endpoint that states none. */
	private static final int ASSUMED_SLOTS = 4;

	/** Sum of samples from which a measured time replaces the one before. */
	private static final double MIN_SAMPLES = 0.5;

	/**
	 * Multiple of the service time from which the age of open requests counts as the
	 * time: fewer than 1 in 20 take longer.
	 */
	private static final double SILENT_FACTOR = 3;

	/**
	 * Time in which a time without new samples loses half of its distance from the
	 * initial one, in ns: a few disturbances.
	 */
	private static final double HALF_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Least service time, in ms. */
	private static final double MIN_TIME_MS = 0.01;

	/** Age from which a time without samples is forgotten, in ns. */
	private static final long FORGOTTEN_NANOS = TimeUnit.MINUTES.toNanos(2);

	/** Share of failures from which an endpoint is distrusted. */
	private static final double DISTRUSTED_SHARE = 0.1;

	/** Share of failures below which a distrusted endpoint is trusted again. */
	private static final double TRUSTED_SHARE = 0.05;

	/** Requests without failure that are assumed in addition to the measured ones. */
	private static final double ASSUMED_SUCCESSES = 4;

	private final PlainLoads loads;

	private final Map<String, Known> known = new HashMap<>();

	private final Set<String> distrusted = new HashSet<>();

	EndpointSpeeds(PlainLoads loads) {
		this.loads = loads;
	}

	int slots(Endpoint endpoint) {
		return (endpoint.slots() > 0) ? endpoint.slots() : ASSUMED_SLOTS;
	}

	// Returns the sends of all daemons to an endpoint, in requests per ms; at most what
	// its slots can serve.
	double sendsPerMs(Endpoint endpoint, double serviceMs, long nowNanos) {
		double perMs = this.loads.total(endpoint.id(), nowNanos).sends() / PlainLoads.SENDS_WINDOW_MS;
		return Math.min(perMs, slots(endpoint) / serviceMs);
	}

	// Returns the time that an endpoint takes for a request, apart from the wait for a
	// slot, in ms.
	double serviceMs(Endpoint endpoint, long nowNanos) {
		PlainLoads.Figures figures = this.loads.total(endpoint.id(), nowNanos);
		double ms = remembered(endpoint.id(), nowNanos);
		if (figures.done() > MIN_SAMPLES) {
			double meanMs = figures.doneMs() / figures.done();
			// Little's law gives the requests that are present, those that wait included.
			double present = figures.sends() / PlainLoads.SENDS_WINDOW_MS * meanMs;
			ms = meanMs * QueueModel.serviceShare(present, slots(endpoint));
			this.known.put(endpoint.id(), new Known(ms, nowNanos));
		}
		double ageMs = this.loads.openAgeMs(endpoint.id(), nowNanos);
		return Math.max(MIN_TIME_MS, (ageMs > SILENT_FACTOR * ms) ? ageMs : ms);
	}

	private double remembered(String id, long nowNanos) {
		Known last = this.known.get(id);
		if (last == null) {
			return INITIAL_TIME_MS;
		}
		double weight = StrictMath.pow(0.5, (nowNanos - last.atNanos()) / HALF_MEMORY_NANOS);
		return Math.min(last.ms(), INITIAL_TIME_MS + weight * (last.ms() - INITIAL_TIME_MS));
	}

	// Tells whether an endpoint fails so often that it should get no more than trials.
	boolean isDistrusted(String id, long nowNanos) {
		PlainLoads.Figures figures = this.loads.total(id, nowNanos);
		double share = figures.failed() / (figures.tried() + ASSUMED_SUCCESSES);
		if (share > DISTRUSTED_SHARE && this.distrusted.add(id)) {
			EntryLog.write(EntryEvent.ENDPOINT_DISTRUSTED, id, "failed_share", Math.round(share * 100) / 100.0);
		}
		else if (share < TRUSTED_SHARE && this.distrusted.remove(id)) {
			EntryLog.write(EntryEvent.ENDPOINT_TRUSTED, id, "failed_share", Math.round(share * 100) / 100.0);
		}
		return this.distrusted.contains(id);
	}

	void removeExpired(long nowNanos) {
		this.known.values().removeIf((one) -> nowNanos - one.atNanos() > FORGOTTEN_NANOS);
		this.distrusted.removeIf((id) -> this.loads.total(id, nowNanos).tried() < MIN_SAMPLES);
	}

	/**
	 * The last measured time of an endpoint.
	 *
	 * @param ms the service time, in ms
	 * @param atNanos when it was measured, in ns
	 */
	private record Known(double ms, long atNanos) {
	}

}
