package org.comfreyslip.entry.layers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Calls to model engines beside the requests of callers.
 */
public interface EngineControl {

	/**
	 * Reads an engine's report.
	 * @param endpoint the endpoint
	 * @param done takes the report, empty if the engine did not answer
	 */
	void report(Endpoint endpoint, Consumer<Optional<Report>> done);

	/**
	 * Orders an engine to hold a range of layers in place of what it holds. Streams
	 * through the layers that it gives up are cut and go on elsewhere.
	 * @param endpoint the endpoint
	 * @param layers the range
	 * @param fence the fencing token
	 * @param expectedOrders orders that the engine has begun so far
	 * @param done takes the outcome
	 */
	void place(Endpoint endpoint, LayerRange layers, long fence, long expectedOrders, Consumer<OrderOutcome> done);

	/** Outcome of an order. */
	enum OrderOutcome {

		/** The order has begun or is done. */
		ACCEPTED,

		/** The engine's state differs from what the order expects. */
		CONFLICT,

		/** The engine has seen a higher fencing token. */
		FENCED,

		/** The engine refused without having begun. */
		REFUSED,

		/** No answer; the order may have begun or may begin later. */
		UNKNOWN

	}

	/**
	 * An engine's report, some hundred ms old.
	 *
	 * @param layers the layers that it holds, empty if none
	 * @param orders orders that it has begun
	 * @param busy whether an order is in progress
	 * @param pace factor on its usual times; above 1 it is slow
	 * @param stalled requests that wait for another endpoint
	 */
	record Report(Optional<LayerRange> layers, long orders, boolean busy, double pace, List<Stalled> stalled) {
	}

	/**
	 * A request that waits for an endpoint of its path.
	 *
	 * @param attemptId the caller's attempt
	 * @param address the address of the endpoint that does not answer
	 */
	record Stalled(String attemptId, String address) {
	}

}
