package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.comfreyslip.routing.topology.CallPattern;
import org.comfreyslip.routing.topology.EndpointSpec;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.KindSpec;
import org.comfreyslip.routing.topology.LinkSpec;
import org.comfreyslip.routing.topology.ServiceSpec;
import org.comfreyslip.routing.topology.Topology;

/**
 * Finds entries that can never match or have no effect, and time limits that contradict
 * each other, in a text without faults.
 */
final class TextWarnings {

	/** Microseconds in 1 ms. */
	private static final double MICROS_PER_MILLI = 1_000;

	private final Topology topology;

	private final List<TextWarning> warnings = new ArrayList<>();

	private TextWarnings(Topology topology) {
		this.topology = topology;
	}

	/**
	 * Returns all warnings.
	 * @param topology what the text defines
	 * @return the warnings by kind of section, each in the order of the text
	 */
	static List<TextWarning> of(Topology topology) {
		TextWarnings result = new TextWarnings(topology);
		result.addUnusedKinds();
		topology.services().forEach(result::addService);
		result.addRepeatedEndpoints();
		return List.copyOf(result.warnings);
	}

	private void addUnusedKinds() {
		Set<String> used = this.topology.engines().stream().map(EngineSpec::kind).collect(Collectors.toSet());
		for (KindSpec kind : this.topology.kinds()) {
			if (!used.contains(kind.name())) {
				add("kind " + kind.name(), "", "no engine is of this kind");
			}
		}
	}

	private void addService(ServiceSpec service) {
		if (endpoints(service).isEmpty()) {
			add(service, "", "no endpoint belongs to the service, so that calls to it cannot be served");
		}
		addCoveredPatterns(service);
		if (service.protectedCalls().isEmpty()) {
			service.lookup().ifPresent((path) -> add(service, "lookup", "has no effect without protected calls"));
			if (!service.refusalStatuses().isEmpty()) {
				add(service, "refusal-statuses", "has no effect without protected calls");
			}
		}
		addShortTimeouts(service);
	}

	private void addCoveredPatterns(ServiceSpec service) {
		List<CallPattern> patterns = service.protectedCalls();
		for (int index = 0; index < patterns.size(); index++) {
			CallPattern pattern = patterns.get(index);
			// A pattern that matches the text of another one matches all calls that the
			// other one does, because an asterisk is matched only by an asterisk.
			patterns.subList(0, index)
				.stream()
				.filter((earlier) -> earlier.matches(pattern.method(), pattern.path()))
				.findFirst()
				.ifPresent((earlier) -> add(service, "protected",
						text(pattern) + " never matches a call that is not matched by the earlier " + text(earlier)));
		}
	}

	private void addShortTimeouts(ServiceSpec service) {
		for (String needed : service.depends()) {
			this.topology.findService(needed)
				.filter((other) -> other.timeoutMillis() > service.timeoutMillis())
				.ifPresent((other) -> add(service, "timeout-ms", service.timeoutMillis() + " is below the "
						+ other.timeoutMillis() + " of service " + needed + ", which this service needs"));
		}
		Set<String> dataCentres = endpoints(service).stream().map(EndpointSpec::dataCentre).collect(Collectors.toSet());
		for (LinkSpec link : this.topology.links()) {
			double roundTripMs = 2 * link.latencyMicros() / MICROS_PER_MILLI;
			boolean used = dataCentres.contains(link.from()) || dataCentres.contains(link.to());
			if (used && service.timeoutMillis() <= roundTripMs) {
				add(service, "timeout-ms", service.timeoutMillis() + " is not above the round trip of " + roundTripMs
						+ " ms between " + link.from() + " and " + link.to());
			}
		}
	}

	private void addRepeatedEndpoints() {
		Map<String, String> names = new HashMap<>();
		for (EndpointSpec endpoint : this.topology.endpoints()) {
			String earlier = names.putIfAbsent(endpoint.service() + " " + endpoint.address(), endpoint.name());
			if (earlier != null) {
				add("endpoint " + endpoint.name(), "address",
						endpoint.address() + " is also the address of endpoint " + earlier + " of the same service");
			}
		}
	}

	private List<EndpointSpec> endpoints(ServiceSpec service) {
		return this.topology.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.service().equals(service.name()))
			.toList();
	}

	private void add(ServiceSpec service, String key, String message) {
		add("service " + service.name(), key, message);
	}

	private void add(String section, String key, String message) {
		this.warnings.add(new TextWarning(section, key, message));
	}

	private static String text(CallPattern pattern) {
		return pattern.method() + " " + pattern.path();
	}

}
