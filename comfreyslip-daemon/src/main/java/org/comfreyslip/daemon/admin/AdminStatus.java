package org.comfreyslip.daemon.admin;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.daemon.route.EndpointStatus;

/**
 * State of the daemon for operators ({@code GET /admin/status}).
 *
 * @param name the daemon's name
 * @param state the phase of the shutdown in lower case, {@code running} before it
 * @param ready whether the balancer may send requests
 * @param config the version of the configuration in use
 * @param configFormat the newest format of the operators' text that the daemon reads
 * @param openRequests the open requests
 * @param downServices the services of which no endpoint takes work, sorted
 * @param endpoints the state of all endpoints, by name
 */
record AdminStatus(String name, String state, boolean ready, ConfigVersion config,
		@JsonProperty("config_format") int configFormat, @JsonProperty("open_requests") int openRequests,
		@JsonProperty("down_services") List<String> downServices, List<EndpointStatus> endpoints) {
}
