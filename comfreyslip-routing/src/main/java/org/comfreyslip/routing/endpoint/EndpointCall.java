package org.comfreyslip.routing.endpoint;

/**
 * A started call. It is settled exactly once through {@link EndpointTable}.
 *
 * @param entry the endpoint
 * @param grant how the call was granted
 */
public record EndpointCall(EndpointEntry entry, EndpointGrant grant) {
}
