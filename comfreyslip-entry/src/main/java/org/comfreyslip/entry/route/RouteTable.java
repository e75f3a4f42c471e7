package org.comfreyslip.entry.route;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Route;

/**
 * Looks up the route of a request in one configuration, by host name and path prefix.
 */
public final class RouteTable {

	private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

	/**
	 * Builds the table. Of two routes with the same host and prefix the later one
	 * applies.
	 * @param configuration the configuration whose routes are looked up
	 */
	public RouteTable(Configuration configuration) {
		for (Route route : configuration.routes()) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new HashMap<>()).put(route.pathPrefix(), route);
		}
	}

	/**
	 * Finds the route of the host whose path prefix is the longest that matches.
	 * @param host value of the host header, in any case; a port is ignored
	 * @param target the request target; a query is ignored
	 * @return the route; empty if none matches
	 */
	public Optional<Route> find(String host, String target) {
		Map<String, Route> routes = this.routesByHost.get(hostName(host));
		if (routes == null) {
			return Optional.empty();
		}
		int query = target.indexOf('?');
		String path = (query < 0) ? target : target.substring(0, query);
		int slash = path.lastIndexOf('/');
		while (slash >= 0) {
			Route route = routes.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
			slash = (slash > 0) ? path.lastIndexOf('/', slash - 1) : -1;
		}
		return Optional.empty();
	}

	private static String hostName(String host) {
		int port = host.lastIndexOf(':');
		return ((port < 0) ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
	}

}
