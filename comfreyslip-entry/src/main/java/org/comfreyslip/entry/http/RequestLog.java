package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.prompt.Prompt;

/**
 * Writes the log lines of requests and counts what happens to them.
 */
final class RequestLog {

	/** Largest number of parts of a prompt in a log line. */
	private static final int MAX_LOGGED_PARTS = 8;

	private final EntryMetrics metrics;

	private final LayerLoads loads;

	/**
	 * Creates a log.
	 * @param metrics the counters and histograms to update
	 * @param loads the loads whose age is logged with each path
	 */
	RequestLog(EntryMetrics metrics, LayerLoads loads) {
		this.metrics = metrics;
		this.loads = loads;
	}

	/**
	 * Counts an event that has no log line.
	 * @param count the counter
	 */
	void count(EntryMetrics.Count count) {
		this.metrics.increment(count);
	}

	/**
	 * Logs that a request was rejected before it was received completely.
	 * @param status status of the response
	 * @param reason why it was rejected
	 */
	void recordRejection(int status, String reason) {
		EntryLog.write(EntryEvent.REQUEST_REJECTED, "unread", "status", status, "why", reason);
	}

	/**
	 * Logs the end of a request.
	 * @param requestId identity of the caller's attempt
	 * @param outcome how it ended
	 * @param reason why it ended so
	 * @param ageMs time since its arrival, in ms
	 * @param sends description of its sends
	 * @param version version of the configuration in force; -1 if there is none
	 */
	void recordClosed(String requestId, Outcome outcome, String reason, long ageMs, String sends, long version) {
		this.metrics.increment(outcome.count());
		this.metrics.record(EntryMetrics.Time.REQUEST, ageMs);
		EntryLog.write(EntryEvent.REQUEST_CLOSED, requestId, "outcome", outcome, "why", reason, "detail", sends,
				"version", version);
	}

	/**
	 * Records the time to the first event of a stream, over engines also by the size of
	 * its prompt.
	 * @param arrivalNanos steady time in ns at which the request arrived
	 * @param prompt the prompt; empty if the stream came from another daemon
	 * @param nowNanos the current steady time in ns
	 */
	void recordFirstEvent(long arrivalNanos, Optional<Prompt> prompt, long nowNanos) {
		long tookMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivalNanos);
		this.metrics.record(EntryMetrics.Time.FIRST_EVENT, tookMs);
		prompt.ifPresent((one) -> this.metrics.record(one.size().metric(), tookMs));
	}

	/**
	 * Records the time of a response of a plain endpoint.
	 * @param tookMs the time since the send, in ms
	 */
	void recordPlainResponse(double tookMs) {
		this.metrics.record(EntryMetrics.Time.PLAIN_RESPONSE, Math.round(tookMs));
	}

	/**
	 * Logs the path that a send takes, and what the search knew when it chose it.
	 * @param requestId identity of the caller's attempt
	 * @param path the path
	 * @param nowNanos the current steady time in ns
	 */
	void recordPath(String requestId, LayerPath path, long nowNanos) {
		long loadsAgeMs = TimeUnit.NANOSECONDS.toMillis(this.loads.peerLoadsAgeNanos(nowNanos));
		this.metrics.record(EntryMetrics.Time.PEER_LOADS_AGE, loadsAgeMs);
		int crossings = path.crossedLinks().size();
		if (crossings > 0) {
			this.metrics.increment(EntryMetrics.Count.PATHS_ACROSS_DATA_CENTRES);
		}
		List<Object> fields = new ArrayList<>(List.of("path", path.describe(), "crossings", crossings, "token_ms",
				Math.round(path.expectedTokenMs() * 10) / 10.0, "loads_age_ms", loadsAgeMs, "peers",
				this.loads.peerCount()));
		if (path.addedCostMs() > 0) {
			fields.addAll(List.of("prompts_ms", Math.round(path.addedCostMs() * 100) / 100.0));
		}
		EntryLog.write(EntryEvent.PATH_CHOSEN, requestId, fields.toArray());
	}

	/**
	 * Logs why no path was found: layers that no usable engine holds, or else a lack of
	 * capacity.
	 * @param requestId identity of the caller's attempt
	 * @param missing the usable engines and the layers that none of them holds
	 * @param heldBackCount number of first stages that their limits exclude
	 * @param nowNanos the current steady time in ns
	 */
	void recordMissingPath(String requestId, TargetSelector.MissingPath missing, int heldBackCount, long nowNanos) {
		this.metrics.increment(EntryMetrics.Count.PATHS_MISSING);
		EntryLog.write(EntryEvent.NO_PATH, requestId, "engines", missing.engineCount(), "missing_layers",
				missing.missingLayers(), "limited_engines", heldBackCount, "loads_age_ms",
				TimeUnit.NANOSECONDS.toMillis(this.loads.peerLoadsAgeNanos(nowNanos)), "peers", this.loads.peerCount());
	}

	/**
	 * Logs that a send ended without a complete response.
	 * @param requestId identity of the caller's attempt
	 * @param endpoint the endpoint
	 * @param cause why it ended
	 * @param progress description of the progress of the send
	 * @param promptParts identities of the shared parts of the prompt
	 * @param digest digest of the request
	 */
	void recordBrokenSend(String requestId, Endpoint endpoint, SendFailureCause cause, String progress,
			List<String> promptParts, String digest) {
		this.metrics.countBrokenSend(cause);
		EntryLog.write(EntryEvent.SEND_BROKEN, requestId, "endpoint", endpoint.id(), "cause", cause, "progress",
				progress, "parts", promptParts.stream().limit(MAX_LOGGED_PARTS).toList(), "digest", digest);
	}

	/**
	 * Logs and counts that an endpoint sent bytes that belong to no response that is due.
	 * @param requestId identity of the last request on the connection
	 * @param endpointId identity of the endpoint
	 * @param kind where on the connection they arrived
	 * @param count number of bytes known when they were noticed
	 */
	void recordStrayBytes(String requestId, String endpointId, StrayBytes kind, int count) {
		this.metrics.countStrayBytes(kind);
		EntryLog.write(EntryEvent.STRAY_BYTES, requestId, "endpoint", endpointId, "where", kind, "bytes", count);
	}

	/**
	 * Logs that a request is sent again.
	 * @param requestId identity of the caller's attempt
	 * @param target identity of the endpoint, or name of the daemon, that had it
	 * @param reason why it is sent again
	 */
	void recordMove(String requestId, String target, String reason) {
		this.metrics.increment(EntryMetrics.Count.MOVED);
		EntryLog.write(EntryEvent.REQUEST_MOVED, requestId, "endpoint", target, "why", reason);
	}

	/**
	 * Logs that an endpoint caused a refusal.
	 * @param faulty the endpoint that caused it
	 * @param target the endpoint that the request was sent to
	 * @param status status of the refusal
	 */
	void recordBlame(Endpoint faulty, Endpoint target, int status) {
		EntryLog.write(EntryEvent.ENDPOINT_BLAMED, faulty.id(), "asked", target.id(), "status", status);
		this.metrics.increment(EntryMetrics.Count.ENDPOINTS_BLAMED);
	}

	/**
	 * Logs that an endpoint's process has ended, as refused connections show.
	 * @param endpoint the endpoint
	 */
	void recordEnded(Endpoint endpoint) {
		EntryLog.write(EntryEvent.ENDPOINT_BLAMED, endpoint.id(), "asked", "connection", "status", "refused");
	}

	/**
	 * Logs the result of a probe for a stream.
	 * @param requestId identity of the caller's attempt
	 * @param first the first endpoint of its path
	 * @param result the result
	 */
	void recordProbe(String requestId, Endpoint first, ProbeResult result) {
		EntryLog.write(EntryEvent.STREAM_INQUIRED, requestId, "first", first.id(), "verdict", result);
	}

	/**
	 * Logs that an engine is slow.
	 * @param engine the engine
	 * @param slowdownFactor its slowdown factor
	 */
	void recordSlowEngine(Endpoint engine, double slowdownFactor) {
		EntryLog.write(EntryEvent.ENGINE_SLOW, engine.id(), "pace", slowdownFactor);
	}

}
