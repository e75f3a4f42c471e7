package org.comfreyslip.daemon.admin;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.daemon.route.EndpointStatus;

/**
 * Response with the state of the daemon ({@code GET /admin/status}).
 *
 * @param name the name of the daemon
 * @param state the phase of the shutdown in lower case; {@code running} before the
 * shutdown has started
 * @param ready whether the balancer may send requests to this daemon
 * @param config the version of the configuration in force; {@link ConfigVersion#INITIAL}
 * before the first one
 * @param configFormat the newest format of the configuration text that the daemon can
 * read
 * @param openRequests the number of requests in progress
 * @param downServices the names of the services of which no endpoint accepts requests,
 * sorted
 * @param endpoints the states of all endpoints, sorted by name
 */
record AdminStatus(String name, String state, boolean ready, ConfigVersion config,
		@JsonProperty("config_format") int configFormat, @JsonProperty("open_requests") int openRequests,
		@JsonProperty("down_services") List<String> downServices, List<EndpointStatus> endpoints) {
}
