package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The parts of a daemon's status that the command evaluates.
 *
 * @param name the daemon's name ({@code name})
 * @param state its drain state ({@code state})
 * @param ready whether it accepts requests ({@code ready})
 * @param configNumber number of the configuration in force, 0 for none
 * ({@code config.number})
 * @param configDigest digest of its text ({@code config.digest})
 * @param configFormat newest format of the text that it reads ({@code config_format}), or
 * 0 if the daemon does not state it
 * @param downServices services without a healthy endpoint ({@code down_services})
 * @param document the whole response
 */
public record DaemonStatus(String name, String state, boolean ready, long configNumber, String configDigest,
		int configFormat, List<String> downServices, JsonNode document) {

	/**
	 * Reads a response.
	 * @param document the response of {@code GET /admin/status}
	 * @return the status; missing members are empty, 0 or {@code false}
	 */
	static DaemonStatus from(JsonNode document) {
		JsonNode config = document.path("config");
		List<String> down = new ArrayList<>();
		document.path("down_services").forEach((service) -> down.add(service.asText()));
		return new DaemonStatus(document.path("name").asText(), document.path("state").asText(),
				document.path("ready").asBoolean(), config.path("number").asLong(), config.path("digest").asText(),
				document.path("config_format").asInt(), List.copyOf(down), document);
	}

}
