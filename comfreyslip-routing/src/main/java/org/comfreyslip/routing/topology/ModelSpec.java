package org.comfreyslip.routing.topology;

import java.util.List;

/**
 * A model of the operators' text.
 *
 * @param name the name callers use
 * @param layers the number of layers, at least 1
 * @param version the version that engines have to hold
 * @param adapters the adapters that callers may select, possibly empty
 * @param depends the services that requests to the model need, possibly empty
 */
public record ModelSpec(String name, int layers, String version, List<String> adapters, List<String> depends) {
}
