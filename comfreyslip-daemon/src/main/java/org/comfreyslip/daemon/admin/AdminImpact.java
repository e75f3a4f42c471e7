package org.comfreyslip.daemon.admin;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What depends on a service ({@code GET /admin/impact/{service}}).
 *
 * @param service the service's name
 * @param down whether no endpoint of it takes work
 * @param dependents the services and models that need it, each with its kind
 * @param rootCauses the services to restore first, empty if the service and all that it
 * needs are up
 */
record AdminImpact(String service, boolean down, List<String> dependents,
		@JsonProperty("root_causes") List<String> rootCauses) {
}
