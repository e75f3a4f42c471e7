package org.comfreyslip.entry.http;

import java.util.List;

import org.comfreyslip.entry.fleet.EndpointLimits;

/**
 * Writes the limits of endpoints as metrics in the Prometheus text format. There are as
 * many series as endpoints with a limit in force.
 */
final class EndpointLimitMetrics {

	private static final String PREFIX = "comfreyslip_endpoint_limit";

	private EndpointLimitMetrics() {
	}

	static String text(List<EndpointLimits.LimitState> states) {
		StringBuilder text = new StringBuilder();
		for (EndpointLimits.LimitState state : states) {
			String labels = "{endpoint=\"" + state.id() + "\",source=\"" + state.source() + "\"} ";
			text.append(PREFIX).append(labels).append(state.requestsPerSecond()).append('\n');
			text.append(PREFIX).append("_age_ms").append(labels).append(state.ageMs()).append('\n');
			text.append(PREFIX).append("_part").append(labels).append(state.part()).append('\n');
			text.append(PREFIX).append("_held_back_total").append(labels).append(state.heldBackCount()).append('\n');
			text.append(PREFIX).append("_sent_total").append(labels).append(state.sentCount()).append('\n');
		}
		return text.toString();
	}

}
