package org.comfreyslip.entry.model;

import java.util.List;
import java.util.Map;

/**
 * One version of the operators' configuration.
 *
 * @param version number of the version; a later version has a larger number
 * @param routes the routes; may be empty
 * @param services the services by name
 * @param accountsByKey the client accounts by API key; empty if no account is configured
 * @param keysRequired whether requests need an API key unless their route is keyless
 * @param limits limits on the requests of callers
 */
public record Configuration(long version, List<Route> routes, Map<String, ServiceSpec> services,
		Map<String, ClientAccount> accountsByKey, boolean keysRequired, RequestLimits limits) {
}
