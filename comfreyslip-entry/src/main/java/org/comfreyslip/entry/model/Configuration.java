package org.comfreyslip.entry.model;

import java.util.List;
import java.util.Map;

/**
 * One version of the operators' configuration.
 *
 * @param version the version; versions increase
 * @param routes the routes
 * @param services the services by name
 * @param accountsByKey the client accounts by API key; empty if no account is configured
 * @param keysRequired whether requests need a key unless their route is keyless
 * @param limits limits on requests
 */
public record Configuration(long version, List<Route> routes, Map<String, ServiceSpec> services,
		Map<String, ClientAccount> accountsByKey, boolean keysRequired, RequestLimits limits) {
}
