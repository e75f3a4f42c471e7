package org.comfreyslip.entry.layers;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Metrics of the layer placement, which only the daemon that holds the placement duty
 * counts.
 */
final class PlacementMetrics {

	private final Map<LayerPlanner.OrderCause, Long> orders = new EnumMap<>(LayerPlanner.OrderCause.class);

	private int missingLayers;

	private int suspectedEngines;

	private int layersAtRisk;

	/**
	 * Counts an order that was planned.
	 * @param cause why it was planned
	 */
	void countOrder(LayerPlanner.OrderCause cause) {
		this.orders.merge(cause, 1L, Long::sum);
	}

	/**
	 * Records what a planning round found.
	 * @param missingLayers number of layers that no engine held or loaded
	 * @param suspectedEngines number of engines that did not respond
	 * @param layersAtRisk number of layers that the loss of one engine, or of engines
	 * with one range, would have left without a replica in their data centre
	 */
	void recordRound(int missingLayers, int suspectedEngines, int layersAtRisk) {
		this.missingLayers = missingLayers;
		this.suspectedEngines = suspectedEngines;
		this.layersAtRisk = layersAtRisk;
	}

	/**
	 * Returns the metrics in the Prometheus text format.
	 * @return the text, with every cause
	 */
	String text() {
		StringBuilder text = new StringBuilder();
		for (LayerPlanner.OrderCause cause : LayerPlanner.OrderCause.values()) {
			text.append("comfreyslip_layer_orders_total{cause=\"")
				.append(cause.name().toLowerCase(Locale.ROOT))
				.append("\"} ")
				.append(this.orders.getOrDefault(cause, 0L))
				.append('\n');
		}
		text.append("comfreyslip_layers_without_replica ").append(this.missingLayers).append('\n');
		text.append("comfreyslip_layers_at_risk ").append(this.layersAtRisk).append('\n');
		return text.append("comfreyslip_engines_suspected ").append(this.suspectedEngines).append('\n').toString();
	}

}
