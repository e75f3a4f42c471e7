package org.comfreyslip.daemon.order;

import org.comfreyslip.clients.engine.EngineOrder;
import org.comfreyslip.clients.engine.EngineState;
import org.comfreyslip.clients.engine.OrderAction;
import org.comfreyslip.routing.placement.PlacementOrder;
import org.comfreyslip.routing.placement.PlacementOrder.LoadAdapter;
import org.comfreyslip.routing.placement.PlacementOrder.LoadRange;

/**
 * The state of an engine that an order is to bring about.
 */
final class OrderGoal {

	/**
	 * Size of the weights of one layer, as requested from the weight store. The
	 * configuration does not state sizes; this is the order of magnitude for a layer of a
	 * model that no single host can hold.
	 */
	private static final long LAYER_BYTES = 500_000_000L;

	/** Size of the weights of one adapter, as requested from the weight store. */
	private static final long ADAPTER_BYTES = 100_000_000L;

	private final PlacementOrder order;

	OrderGoal(PlacementOrder order) {
		this.order = order;
	}

	String engine() {
		return this.order.engine();
	}

	long weightBytes() {
		return (this.order instanceof LoadRange range) ? range.layers().count() * LAYER_BYTES : ADAPTER_BYTES;
	}

	boolean isReachedBy(EngineState state) {
		if (this.order instanceof LoadRange range) {
			return range.model().equals(state.model()) && range.version().equals(state.version())
					&& range.layers().first() == state.firstLayer() && range.layers().end() == state.endLayer();
		}
		return this.order instanceof LoadAdapter adapter && state.adapters().contains(adapter.adapter());
	}

	EngineOrder toEngineOrder(long fencingToken) {
		if (this.order instanceof LoadRange range) {
			return new EngineOrder(fencingToken, OrderAction.LOAD_MODEL, range.model(), range.version(), null,
					range.layers().first(), range.layers().end(), null);
		}
		LoadAdapter adapter = (LoadAdapter) this.order;
		return new EngineOrder(fencingToken, OrderAction.LOAD_ADAPTER, null, null, adapter.adapter(), 0, 0, null);
	}

	@Override
	public String toString() {
		return this.order.toString();
	}

}
