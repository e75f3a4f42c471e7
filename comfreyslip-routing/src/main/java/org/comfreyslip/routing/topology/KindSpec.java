package org.comfreyslip.routing.topology;

/**
 * An accelerator kind of the operators' text.
 *
 * @param name the kind's name
 * @param layerMicros the expected time of one layer for one token, in microseconds
 */
public record KindSpec(String name, int layerMicros) {
}
