package org.comfreyslip.coordination.membership;

/**
 * State of an endpoint as observed by one daemon, which sends it to the others.
 *
 * @param endpoint the endpoint's name
 * @param state 0 healthy, 1 ejected, 2 leaving
 * @param sequence a number that increases with each notification about the endpoint; a
 * notification with a lower or equal number is outdated
 */
public record EndpointNotification(String endpoint, int state, long sequence) {
}
