package org.comfreyslip.daemon.route;

import org.comfreyslip.routing.endpoint.EndpointCall;
import org.comfreyslip.routing.topology.EndpointSpec;

/**
 * An endpoint of a plain service that was selected for a call.
 *
 * @param endpoint the endpoint
 * @param call the started call, which must be ended exactly once
 */
public record SelectedEndpoint(EndpointSpec endpoint, EndpointCall call) {
}
