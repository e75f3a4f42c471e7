package org.comfreyslip.routing.topology;

/**
 * A link between two data centres, valid in both directions.
 *
 * @param from one data centre
 * @param to the other data centre
 * @param bandwidthMbit the bandwidth in megabits per second
 * @param latencyMicros the one-way latency in microseconds
 */
public record LinkSpec(String from, String to, int bandwidthMbit, int latencyMicros) {
}
