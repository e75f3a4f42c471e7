package org.comfreyslip.routing.topology;

import java.util.List;
import java.util.Optional;

/**
 * The configuration that one accepted operators' text defines. Any of the lists may be
 * empty.
 *
 * @param models the models
 * @param kinds the accelerator kinds
 * @param engines the engines
 * @param services the plain services
 * @param endpoints the endpoints of the plain services
 * @param accounts the client accounts
 * @param operators the operators
 * @param links the links between data centres
 */
public record Topology(List<ModelSpec> models, List<KindSpec> kinds, List<EngineSpec> engines,
		List<ServiceSpec> services, List<EndpointSpec> endpoints, List<AccountSpec> accounts,
		List<OperatorSpec> operators, List<LinkSpec> links) {

	/**
	 * Finds a model by name.
	 * @param name the model's name
	 * @return the model, or empty if it is not configured
	 */
	public Optional<ModelSpec> findModel(String name) {
		return this.models.stream().filter((model) -> model.name().equals(name)).findFirst();
	}

	/**
	 * Finds a plain service by name.
	 * @param name the service's name
	 * @return the service, or empty if it is not configured
	 */
	public Optional<ServiceSpec> findService(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

}
