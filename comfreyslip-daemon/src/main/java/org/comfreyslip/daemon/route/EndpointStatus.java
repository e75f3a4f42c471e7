package org.comfreyslip.daemon.route;

import org.comfreyslip.routing.endpoint.EndpointState;

/**
 * Status of an endpoint, as shown to operators.
 *
 * @param name the endpoint's name
 * @param group the name of the service, or of the model for an engine
 * @param state the health state
 * @param outstanding the number of this daemon's open calls and occupancies
 * @param weight the slow-start weight, 1 for an endpoint that takes its full share
 */
public record EndpointStatus(String name, String group, EndpointState state, int outstanding, double weight) {
}
