package org.comfreyslip.coordination.membership;

/**
 * News about an endpoint that one daemon passes to the others.
 *
 * @param endpoint the endpoint's name
 * @param state 0 healthy, 1 ejected, 2 leaving
 * @param sequence a number that grows with each notice about the endpoint
 */
public record EndpointNotice(String endpoint, int state, long sequence) {
}
