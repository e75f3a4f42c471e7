package org.comfreyslip.routing.topology;

/**
 * An endpoint of a plain service.
 *
 * @param name the endpoint's name
 * @param service the service it belongs to
 * @param address IP address and port
 * @param dataCentre the data centre it is in
 */
public record EndpointSpec(String name, String service, String address, String dataCentre) {
}
