package org.comfreyslip.daemon.admin;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Response with what depends on a service ({@code GET /admin/impact/{service}}).
 *
 * @param service the name of the service
 * @param down whether no endpoint of the service accepts requests
 * @param dependents the services and models that depend on it, each with its kind, such
 * as {@code service archive}
 * @param rootCauses the services to restore first; empty if the service and all of its
 * dependencies are up
 */
record AdminImpact(String service, boolean down, List<String> dependents,
		@JsonProperty("root_causes") List<String> rootCauses) {
}
