package org.comfreyslip.daemon.admin;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.routing.topology.ServiceSpec;
import org.comfreyslip.settings.DependencyGraph;
import org.comfreyslip.settings.DependencyNode;
import org.comfreyslip.settings.OperatorText;

/**
 * Builds the responses to the queries of operators.
 */
final class AdminReports {

	private final AdminServer.Parts parts;

	AdminReports(AdminServer.Parts parts) {
		this.parts = parts;
	}

	boolean isReady() {
		return this.parts.holder().isReady() && this.parts.firstClaimReadEnded().getAsBoolean()
				&& this.parts.drain().phase().isReady();
	}

	String state() {
		return this.parts.drain().phase().name().toLowerCase(Locale.ROOT);
	}

	// Reports the version in force, not the newest accepted one: a text that cannot be
	// applied is not in force.
	AdminStatus status() {
		ConfigVersion version = this.parts.holder()
			.current()
			.map(ConfigInForce::snapshot)
			.map(ConfigSnapshot::version)
			.orElse(ConfigVersion.INITIAL);
		return new AdminStatus(this.parts.daemon(), state(), isReady(), version, OperatorText.FORMAT,
				this.parts.drain().openRequests(), List.copyOf(downServices()),
				this.parts.tables().status(this.parts.clock().getAsLong()));
	}

	AdminConfig config() {
		ConfigSnapshot snapshot = inForce().snapshot();
		return new AdminConfig(snapshot.version(), snapshot.text());
	}

	AdminImpact impact(String service) {
		DependencyGraph graph = inForce().dependencies();
		Set<String> down = downServices();
		List<String> dependents = graph.dependentsOf(service).stream().map(DependencyNode::toString).toList();
		return new AdminImpact(service, down.contains(service), dependents,
				graph.rootCauses(DependencyNode.service(service), down));
	}

	Optional<AdminExplanation> explain(String request) {
		return this.parts.journal().find(request).map((found) -> new AdminExplanation(this.parts.daemon(), found));
	}

	private ConfigInForce inForce() {
		return this.parts.holder()
			.current()
			.orElseThrow(() -> new CodedException(ErrorCode.NOT_READY, "no configuration is in force on this daemon"));
	}

	private Set<String> downServices() {
		List<String> services = this.parts.holder()
			.current()
			.map((config) -> config.topology().services().stream().map(ServiceSpec::name).toList())
			.orElse(List.of());
		return new TreeSet<>(this.parts.tables().findDownServices(services, this.parts.clock().getAsLong()));
	}

}
