package org.comfreyslip.entry.model;

import java.util.Optional;

/**
 * A service of the configuration. Unlike the class of this name in
 * {@code org.comfreyslip.routing.topology}, it covers services with a model as well.
 *
 * @param name the service's name
 * @param maxConnections number of connections that an endpoint accepts from all callers
 * together
 * @param engine the model and its performance figures; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {
}
