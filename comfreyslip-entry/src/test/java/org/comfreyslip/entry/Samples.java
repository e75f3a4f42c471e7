package org.comfreyslip.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreyslip.entry.layers.LayerPlanner;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.comfreyslip.entry.model.RequestLimits;
import org.comfreyslip.entry.model.Route;
import org.comfreyslip.entry.model.RouteKind;

/**
 * Sample values for tests: a model of 80 layers and four kinds of accelerators, as in the
 * first deployments.
 */
public final class Samples {

	/** The fastest kind. */
	public static final AcceleratorKind FAST = new AcceleratorKind("fast", 72_000, 1.4, 1);

	/** The second fastest kind. */
	public static final AcceleratorKind MIDDLE = new AcceleratorKind("middle", 36_000, 3.1, 3.2);

	/** A slow kind. */
	public static final AcceleratorKind SLOW = new AcceleratorKind("slow", 21_600, 16, 8.2);

	/** The smallest kind. */
	public static final AcceleratorKind SMALL = new AcceleratorKind("small", 14_400, 15, 15);

	private Samples() {
	}

	/**
	 * Returns the specification of the model.
	 * @return a model of 80 layers with all four accelerator kinds
	 */
	public static EngineSpec engine() {
		return new EngineSpec(134, 80, 1_750, 10_567, 0.85, 0.0055, 7.3e-6, 196, 0.026, 14, 772, 167,
				Map.of("fast", FAST, "middle", MIDDLE, "slow", SLOW, "small", SMALL));
	}

	/**
	 * Returns the specification of the same model for many engines, whose links between
	 * data centres carry far fewer streams than all engines together.
	 * @return a model of 80 layers with all four accelerator kinds
	 */
	public static EngineSpec manyEngines() {
		return manyEngines(0.0334);
	}

	/**
	 * Returns the specification of the same model for many engines, with links between
	 * data centres that carry six streams a second.
	 * @return a model of 80 layers with all four accelerator kinds
	 */
	public static EngineSpec manyEnginesOnSlowLinks() {
		return manyEngines(0.18);
	}

	private static EngineSpec manyEngines(double linkMsPerToken) {
		return new EngineSpec(134, 80, 1_750, 4_912, 0.85, 0.00255, 3.41e-6, 294, linkMsPerToken, 14, 760, 172,
				Map.of("fast", FAST, "middle", MIDDLE, "slow", SLOW, "small", SMALL));
	}

	/**
	 * Returns 98 engines without layers in three data centres, each of which can hold the
	 * model several times.
	 * @return the engines, in the same order each time
	 */
	public static List<Endpoint> manyEmptyEngines() {
		List<Endpoint> engines = new ArrayList<>();
		addEngines(engines, "a", FAST, 1);
		addEngines(engines, "a", MIDDLE, 2);
		addEngines(engines, "a", SLOW, 20);
		addEngines(engines, "a", SMALL, 9);
		addEngines(engines, "b", MIDDLE, 4);
		addEngines(engines, "b", SLOW, 11);
		addEngines(engines, "b", SMALL, 18);
		addEngines(engines, "c", FAST, 1);
		addEngines(engines, "c", MIDDLE, 2);
		addEngines(engines, "c", SLOW, 13);
		addEngines(engines, "c", SMALL, 17);
		return engines;
	}

	/**
	 * Returns 39 engines without layers in three data centres, as in the first
	 * deployments; each can hold the model alone.
	 * @return the engines, in the same order each time
	 */
	public static List<Endpoint> fewEmptyEngines() {
		List<Endpoint> engines = new ArrayList<>();
		addEngines(engines, "a", MIDDLE, 1);
		addEngines(engines, "a", SLOW, 8);
		addEngines(engines, "a", SMALL, 3);
		addEngines(engines, "b", MIDDLE, 2);
		addEngines(engines, "b", SLOW, 4);
		addEngines(engines, "b", SMALL, 7);
		addEngines(engines, "c", FAST, 1);
		addEngines(engines, "c", MIDDLE, 1);
		addEngines(engines, "c", SLOW, 5);
		addEngines(engines, "c", SMALL, 7);
		return engines;
	}

	private static void addEngines(List<Endpoint> engines, String dataCentre, AcceleratorKind kind, int count) {
		for (int index = 0; index < count; index++) {
			engines.add(endpoint(dataCentre + "-" + kind.name() + "-" + index, dataCentre, kind, null));
		}
	}

	/**
	 * Returns engines as the planner places layers on them.
	 * @param spec the model
	 * @param engines the engines with the layers that they hold now
	 * @return the same engines with the layers that the planner orders
	 */
	public static List<Endpoint> place(EngineSpec spec, List<Endpoint> engines) {
		Map<String, LayerRange> orders = LayerPlanner.plan(spec, placements(spec, engines));
		return engines.stream()
			.map((one) -> endpoint(one.id(), one.dataCentre(), spec.kinds().get(one.accelerator().orElseThrow()),
					orders.getOrDefault(one.id(), one.layers().orElse(null))))
			.toList();
	}

	/**
	 * Returns what the planner needs to know of engines that carry no streams.
	 * @param spec the model
	 * @param engines the engines
	 * @return their placements, without pending orders
	 */
	public static List<LayerPlanner.EnginePlacement> placements(EngineSpec spec, List<Endpoint> engines) {
		return engines.stream()
			.map((one) -> new LayerPlanner.EnginePlacement(one.id(), one.dataCentre(),
					spec.kinds().get(one.accelerator().orElseThrow()), one.layers(), false, 0))
			.toList();
	}

	/**
	 * Returns a registered engine of the service {@code model}.
	 * @param id identity, from which the port is derived
	 * @param dataCentre name of the data centre
	 * @param kind the accelerator kind
	 * @param layers the layers that it holds, {@code null} for none
	 * @return an endpoint that is not draining
	 */
	public static Endpoint endpoint(String id, String dataCentre, AcceleratorKind kind, LayerRange layers) {
		return new Endpoint(id, 1, 1, "model",
				new InetSocketAddress("10.0.0.1", 1_000 + Math.abs(id.hashCode() % 60_000)), dataCentre, false,
				Optional.of(kind.name()), Optional.ofNullable(layers));
	}

	/**
	 * Returns a registered endpoint of the plain service {@code archive}.
	 * @param id identity
	 * @param heartbeat number of the registration
	 * @param draining whether it has announced that it is leaving
	 * @return an endpoint in the data centre {@code a}; all have the same address
	 */
	public static Endpoint plain(String id, long heartbeat, boolean draining) {
		return new Endpoint(id, 1, heartbeat, "archive", new InetSocketAddress("10.0.0.1", 8_080), "a", draining,
				Optional.empty(), Optional.empty());
	}

	/**
	 * Returns an idempotent route to the service {@code archive}.
	 * @param name the route's name
	 * @param prefix path prefix with slashes at both ends
	 * @return the route for the host {@code api.example}
	 */
	public static Route route(String name, String prefix) {
		return new Route(name, "api.example", prefix, RouteKind.IDEMPOTENT,
				List.of(new Route.WeightedService("archive", 1)), 2, 1_000, 100, 0, 1, false, false);
	}

	/**
	 * Returns a configuration without services, accounts and keys.
	 * @param routes the routes of the configuration
	 * @return version 1 of a configuration
	 */
	public static Configuration configuration(Route... routes) {
		return new Configuration(1, List.of(routes), Map.of(), Map.of(), false, RequestLimits.INITIAL);
	}

}
