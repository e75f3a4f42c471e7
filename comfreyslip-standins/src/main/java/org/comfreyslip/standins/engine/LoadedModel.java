package org.comfreyslip.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.comfreyslip.clients.engine.EngineOrder;
import org.comfreyslip.clients.engine.EngineState;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.FencingMode;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * What is loaded, and the orders that change it. Not thread-safe.
 */
final class LoadedModel {

	private final EngineSettings settings;

	private EngineState state;

	LoadedModel(EngineSettings settings) {
		this.settings = settings;
		this.state = new EngineState(settings.model(), settings.version(), List.of(), settings.range().first(),
				settings.range().end(), "serve", -1);
	}

	EngineState state() {
		return this.state;
	}

	LayerRange range() {
		if (this.state.model() == null) {
			throw new CodedException(ErrorCode.UNKNOWN_MODEL, "no model is loaded");
		}
		return new LayerRange(this.state.firstLayer(), this.state.endLayer());
	}

	void requireServes(StepRequest step) {
		LayerRange held = range();
		if (!this.state.model().equals(step.model()) || !this.state.version().equals(step.version())) {
			throw new CodedException(ErrorCode.UNKNOWN_MODEL, "loaded is " + this.state.model() + " "
					+ this.state.version() + ", not " + step.model() + " " + step.version());
		}
		if (step.firstLayer() < held.first() || step.endLayer() > held.end() || step.firstLayer() >= step.endLayer()) {
			throw new CodedException(ErrorCode.BAD_REQUEST,
					"layers " + step.firstLayer() + "-" + step.endLayer() + " are not within " + held);
		}
	}

	// Refuses an order with an old number, unless numbers are ignored.
	void fence(EngineOrder order) {
		EngineState old = this.state;
		if (this.settings.fencing() == FencingMode.CHECKED && order.fencingNumber() < old.fencingNumber()) {
			throw new CodedException(ErrorCode.STALE_FENCE,
					"order has number " + order.fencingNumber() + ", newest is " + old.fencingNumber());
		}
		this.state = new EngineState(old.model(), old.version(), old.adapters(), old.firstLayer(), old.endLayer(),
				old.role(), Math.max(old.fencingNumber(), order.fencingNumber()));
	}

	// Carries an order out and returns whether the model or its version changed.
	boolean apply(EngineOrder order) {
		EngineState old = this.state;
		this.state = switch (order.action()) {
			case LOAD_MODEL -> loaded(order, old);
			case UNLOAD_MODEL -> new EngineState(null, null, List.of(), 0, 0, old.role(), old.fencingNumber());
			case LOAD_ADAPTER -> new EngineState(old.model(), old.version(), with(old.adapters(), order.adapter()),
					old.firstLayer(), old.endLayer(), old.role(), old.fencingNumber());
			case SET_ROLE -> new EngineState(old.model(), old.version(), old.adapters(), old.firstLayer(),
					old.endLayer(), order.role(), old.fencingNumber());
		};
		return !Objects.equals(old.model(), this.state.model()) || !Objects.equals(old.version(), this.state.version());
	}

	private EngineState loaded(EngineOrder order, EngineState old) {
		LayerRange range = new LayerRange(order.firstLayer(), order.endLayer());
		if (order.model() == null || order.version() == null || range.end() > this.settings.modelLayers()) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "order names no model, no version or unknown layers");
		}
		boolean same = order.model().equals(old.model()) && order.version().equals(old.version());
		return new EngineState(order.model(), order.version(), (same) ? old.adapters() : List.of(), range.first(),
				range.end(), old.role(), old.fencingNumber());
	}

	private static List<String> with(List<String> adapters, String adapter) {
		List<String> all = new ArrayList<>(adapters);
		if (!all.contains(adapter)) {
			all.add(adapter);
		}
		return all;
	}

}
