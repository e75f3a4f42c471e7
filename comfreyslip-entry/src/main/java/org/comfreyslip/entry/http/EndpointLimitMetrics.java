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
			write(text, "", state.id(), state.requestsPerSecond());
			write(text, "_age_ms", state.id(), state.ageMs());
			write(text, "_from_peer", state.id(), (state.source() == EndpointLimits.Source.PEER) ? 1 : 0);
			write(text, "_part", state.id(), state.part());
			write(text, "_sent_total", state.id(), state.sentCount());
			write(text, "_held_back_total", state.id(), state.heldBackCount());
		}
		return text.toString();
	}

	private static void write(StringBuilder text, String name, String endpoint, Number value) {
		text.append(PREFIX)
			.append(name)
			.append("{endpoint=\"")
			.append(endpoint)
			.append("\"} ")
			.append(value)
			.append('\n');
	}

}
