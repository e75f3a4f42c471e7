package org.comfreyslip.entry.http;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.fleet.LeastWaitSelector;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.prompt.WaitingPrompts;

/**
 * Starts and ends sends, and keeps the loads, the limits and the monitored endpoints in
 * step with them. Each start is followed by one end.
 */
final class Sender {

	private final HeaderTranslator headers;

	private final EndpointPool pool;

	private final PeerRelays relays;

	private final LayerLoads loads;

	private final WaitingPrompts prompts;

	private final LeastWaitSelector plainSelector;

	private final EndpointLimits limits;

	private final EndpointMonitor monitor;

	private final RequestLog log;

	/**
	 * Creates a sender.
	 * @param headers translates header fields
	 * @param pool connections to endpoints
	 * @param relays connections to other daemons
	 * @param loads the loads of engines and links, which paths reserve
	 * @param prompts takes the prompts that are sent to engines
	 * @param plainSelector takes the sends to endpoints of plain services
	 * @param limits takes the sends to endpoints
	 * @param monitor monitors the endpoints of paths
	 * @param log takes the paths and counts
	 */
	Sender(HeaderTranslator headers, EndpointPool pool, PeerRelays relays, LayerLoads loads, WaitingPrompts prompts,
			LeastWaitSelector plainSelector, EndpointLimits limits, EndpointMonitor monitor, RequestLog log) {
		this.headers = headers;
		this.pool = pool;
		this.relays = relays;
		this.loads = loads;
		this.prompts = prompts;
		this.plainSelector = plainSelector;
		this.limits = limits;
		this.monitor = monitor;
		this.log = log;
	}

	/**
	 * Starts a send.
	 * @param target where the request goes
	 * @param request the request
	 * @param listener receives the events of the send; identifies the request, whose
	 * prompt waits until its first event or the end of the send
	 * @param nowNanos the current steady time in ns
	 * @return the connection that carries the request
	 */
	EndpointConnection start(SendTarget target, OutgoingRequest request, ResponseListener listener, long nowNanos) {
		if (target.daemon().isPresent()) {
			this.log.count(EntryMetrics.Count.RELAYED);
			return this.relays.send(target.daemon().get(), request.forDaemon(this.headers), request.attemptId(),
					request.runsOnce(), listener);
		}
		Endpoint endpoint = target.endpoint().get();
		DefaultFullHttpRequest message = request.forEndpoint(this.headers, target);
		target.path()
			.ifPresentOrElse((path) -> startOnPath(target, path, request.attemptId(), listener, nowNanos),
					() -> this.plainSelector.recordDispatch(endpoint.id(), nowNanos));
		this.limits.recordSend(endpoint.id(), System.nanoTime());
		return this.pool.send(ConnectionTarget.of(endpoint), message, request.attemptId(), request.runsOnce(),
				listener);
	}

	private void startOnPath(SendTarget target, LayerPath path, String requestId, ResponseListener listener,
			long nowNanos) {
		this.log.recordPath(requestId, path, nowNanos);
		this.loads.reserve(path, target.tokens());
		this.prompts.recordSend(listener, target.prompt().get(), path, nowNanos);
		path.stages().forEach((stage) -> this.monitor.monitor(stage.endpoint(), nowNanos));
	}

	/**
	 * Records that the first event of a send has arrived.
	 * @param listener the listener of the send
	 * @param nowNanos the current steady time in ns
	 */
	void onFirstEvent(ResponseListener listener, long nowNanos) {
		this.prompts.recordStart(listener, nowNanos);
	}

	/**
	 * Ends a send and releases its reservations.
	 * @param target where the request went
	 * @param listener the listener of the send
	 * @param sentAtNanos steady time in ns at which the send started
	 * @param tookMs the response time, in ms; negative if there was no response, or one
	 * that reports a failure
	 */
	void end(SendTarget target, ResponseListener listener, long sentAtNanos, double tookMs) {
		if (target.daemon().isPresent()) {
			this.relays.onEnded(target.daemon().get());
		}
		else if (target.path().isPresent()) {
			this.loads.release(target.path().get(), target.tokens());
			this.prompts.recordStart(listener, System.nanoTime());
		}
		else {
			this.plainSelector.recordCompletion(target.endpoint().get().id(), sentAtNanos, tookMs, System.nanoTime());
			if (tookMs >= 0) {
				this.log.recordPlainResponse(tookMs);
			}
		}
	}

}
