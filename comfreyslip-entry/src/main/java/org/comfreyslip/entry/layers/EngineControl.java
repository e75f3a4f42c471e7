package org.comfreyslip.entry.layers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Control calls to model engines, separate from callers' requests.
 */
public interface EngineControl {

	/**
	 * Reads an engine's report.
	 * @param endpoint the endpoint
	 * @param callback takes the report; empty if the engine sent no response in time or
	 * one that cannot be decoded
	 */
	void fetchReport(Endpoint endpoint, Consumer<Optional<Report>> callback);

	/**
	 * Orders an engine to hold a range of layers in place of those that it holds now.
	 * Streams through the layers that it unloads are broken off and continue on other
	 * engines.
	 * @param endpoint the endpoint
	 * @param layers the layers to hold
	 * @param fencingToken the leader's fencing token; the engine rejects the order if it
	 * has seen a higher one
	 * @param expectedOrderCount number of orders that the engine has begun so far,
	 * according to its report
	 * @param callback takes the outcome
	 */
	void orderLayers(Endpoint endpoint, LayerRange layers, long fencingToken, long expectedOrderCount,
			Consumer<OrderOutcome> callback);

	/** Outcome of an order. */
	enum OrderOutcome {

		/** The engine has begun or completed the order. */
		ACCEPTED,

		/** The engine's state differs from the state that the order expects. */
		CONFLICT,

		/** The engine has seen a higher fencing token. */
		FENCED,

		/** The engine refused without having begun. */
		REFUSED,

		/** No response arrived; the order may have begun or may begin later. */
		UNKNOWN

	}

	/**
	 * An engine's report on itself, a few hundred ms old.
	 *
	 * @param layers the layers that it holds; empty if none
	 * @param orderCount number of orders that it has begun
	 * @param busy whether an order is in progress
	 * @param slowdownFactor current run time divided by the usual run time; above 1 it is
	 * slower than usual
	 * @param stalledRequests requests that wait for a later endpoint of their path; may
	 * be empty
	 */
	record Report(Optional<LayerRange> layers, long orderCount, boolean busy, double slowdownFactor,
			List<StalledRequest> stalledRequests) {
	}

	/**
	 * A request that waits for another endpoint of its path.
	 *
	 * @param attemptId identity of the caller's attempt
	 * @param unresponsiveAddress address of the endpoint that does not respond
	 */
	record StalledRequest(String attemptId, String unresponsiveAddress) {
	}

}
