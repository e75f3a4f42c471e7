package org.comfreyslip.routing.topology;

import java.util.List;

/**
 * A model of the operators' text.
 *
 * @param name the name that clients use
 * @param layers the number of layers, at least 1
 * @param version the version that engines must hold
 * @param adapters the adapters that clients may select, possibly empty
 * @param depends the names of the services that requests to the model depend on, possibly
 * empty
 */
public record ModelSpec(String name, int layers, String version, List<String> adapters, List<String> depends) {
}
