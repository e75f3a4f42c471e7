package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.layers.EngineControl;
import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Probes engines of silent streams for stalls and those of slow streams for their
 * slowdown factors, as far as the limits of the engines allow.
 */
final class StreamProbes {

	private final EngineControl engines;

	private final EndpointDirectory directory;

	private final EndpointLimits limits;

	private final EngineSlowdowns slowdowns;

	private final RequestLog log;

	private final BiConsumer<Endpoint, Long> onUnreachable;

	/** Callbacks that wait for the report of an engine, by identity of the endpoint. */
	private final Map<String, List<Consumer<Optional<EngineControl.Report>>>> pending = new HashMap<>();

	/**
	 * Creates the probes.
	 * @param engines control calls to engines
	 * @param directory the registered endpoints
	 * @param limits the limits of endpoints, which also apply to probes
	 * @param slowdowns the slowdown factors, which probes update
	 * @param log takes the results
	 * @param onUnreachable takes an endpoint that does not respond, and the current
	 * steady time in ns
	 */
	StreamProbes(EngineControl engines, EndpointDirectory directory, EndpointLimits limits, EngineSlowdowns slowdowns,
			RequestLog log, BiConsumer<Endpoint, Long> onUnreachable) {
		this.engines = engines;
		this.directory = directory;
		this.limits = limits;
		this.slowdowns = slowdowns;
		this.log = log;
		this.onUnreachable = onUnreachable;
	}

	/**
	 * Probes the engines of a slow stream for their slowdown factors.
	 * @param path the path of the stream
	 * @param nowNanos the current steady time in ns
	 */
	void probeSlowStream(LayerPath path, long nowNanos) {
		for (LayerPath.Stage stage : path.stages()) {
			Endpoint endpoint = stage.endpoint();
			if (this.limits.maySend(endpoint, nowNanos) && this.slowdowns.tryStartProbe(endpoint.id(), nowNanos)) {
				fetchReport(endpoint, (report) -> report.ifPresent((one) -> recordSlowdown(endpoint, one)));
			}
		}
	}

	private void recordSlowdown(Endpoint engine, EngineControl.Report report) {
		this.slowdowns.recordOwnReport(engine.id(), report.slowdownFactor(), System.nanoTime());
		if (report.slowdownFactor() > EngineSlowdowns.SLOW_FACTOR) {
			this.log.recordSlowEngine(engine, report.slowdownFactor());
		}
	}

	/**
	 * Probes the first endpoint of a stream's path for whether the stream waits for
	 * another endpoint. Streams with the same first endpoint share one probe.
	 * @param exchange the request of the stream; its path at the time of the report
	 * counts
	 * @param first the first endpoint of the path
	 * @param callback takes the result
	 */
	void probeSilentStream(Exchange exchange, Endpoint first, Consumer<ProbeResult> callback) {
		Consumer<Optional<EngineControl.Report>> onReport = (report) -> callback
			.accept(evaluate(exchange, first, report));
		List<Consumer<Optional<EngineControl.Report>>> waiting = this.pending.get(first.id());
		if (waiting != null) {
			waiting.add(onReport);
			return;
		}
		if (!this.limits.maySend(first, System.nanoTime())) {
			callback.accept(ProbeResult.HELD_BACK);
			return;
		}
		this.pending.put(first.id(), new ArrayList<>(List.of(onReport)));
		fetchReport(first, (report) -> this.pending.remove(first.id()).forEach((one) -> one.accept(report)));
	}

	private void fetchReport(Endpoint endpoint, Consumer<Optional<EngineControl.Report>> callback) {
		this.limits.recordSend(endpoint.id(), System.nanoTime());
		this.log.count(EntryMetrics.Count.REPORTS_FETCHED);
		this.engines.fetchReport(endpoint, callback);
	}

	private ProbeResult evaluate(Exchange exchange, Endpoint first, Optional<EngineControl.Report> report) {
		long now = System.nanoTime();
		ProbeResult result = ProbeResult.WORKING;
		if (report.isEmpty()) {
			this.onUnreachable.accept(first, now);
			result = ProbeResult.UNREACHABLE;
		}
		else {
			for (EngineControl.StalledRequest stalled : report.get().stalledRequests()) {
				if (stalled.attemptId().equals(exchange.id())) {
					this.directory.findUsableAt(first.service(), stalled.unresponsiveAddress())
						.ifPresent((endpoint) -> this.onUnreachable.accept(endpoint, now));
					boolean onPath = exchange.path()
						.filter((path) -> path.usesLaterAddress(stalled.unresponsiveAddress()))
						.isPresent();
					result = (onPath) ? ProbeResult.STALLED : ProbeResult.STALLED_OFF_PATH;
				}
			}
		}
		this.log.recordProbe(exchange.id(), first, result);
		return result;
	}

}
