package org.comfreyslip.entry.model;

import java.util.Optional;

/**
 * A service of the configuration.
 *
 * @param name the service's name
 * @param maxConnections connections that an endpoint accepts from all callers together
 * @param engine the model engine; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {
}
