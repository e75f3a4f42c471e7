package org.comfreyslip.daemon.route;

import org.comfreyslip.routing.endpoint.EndpointState;

/**
 * State of an endpoint for operators.
 *
 * @param name the endpoint's name
 * @param group the service or model
 * @param state the health state
 * @param outstanding this daemon's open calls
 * @param weight the slow-start weight
 */
public record EndpointStatus(String name, String group, EndpointState state, int outstanding, double weight) {
}
