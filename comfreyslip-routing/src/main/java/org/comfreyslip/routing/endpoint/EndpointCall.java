package org.comfreyslip.routing.endpoint;

/**
 * A started call to an endpoint. Its end must be recorded exactly once through
 * {@link EndpointTable}.
 *
 * @param entry the endpoint
 * @param grant whether the call is a normal call or a half-open probe
 */
public record EndpointCall(EndpointEntry entry, EndpointGrant grant) {
}
