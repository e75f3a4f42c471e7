package org.comfreyslip.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.routing.topology.ServiceSpec;
import org.comfreyslip.routing.topology.Topology;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a start order that places a service before one that it depends on, and
 * against an outage report that names a service as the cause although it is down only
 * because of another one.
 */
class DependencyGraphTests {

	private final DependencyGraph graph = new DependencyGraph(topology(List.of(service("archive", "index", "store"),
			service("index", "store"), service("store"), service("mail"))));

	@Test
	void dependentsIncludeIndirectOnesAndModels() {
		assertThat(this.graph.dependentsOf("store")).containsExactly(DependencyNode.service("archive"),
				DependencyNode.service("index"), DependencyNode.model("m"));
		assertThat(this.graph.dependentsOf("mail")).isEmpty();
	}

	@Test
	void theRootCauseIsTheDownServiceWhoseDependenciesAreUp() {
		List<String> down = List.of("archive", "index", "store", "mail");
		assertThat(this.graph.rootCauses(DependencyNode.model("m"), down)).containsExactly("store");
		assertThat(this.graph.rootCauses(DependencyNode.service("archive"), List.of("archive", "index")))
			.containsExactly("index");
		assertThat(this.graph.rootCauses(DependencyNode.service("store"), down)).containsExactly("store");
		assertThat(this.graph.rootCauses(DependencyNode.service("store"), List.of("archive"))).isEmpty();
	}

	@Test
	void aDependencyBehindAServiceReportedAsUpIsARootCause() {
		assertThat(this.graph.rootCauses(DependencyNode.service("archive"), List.of("archive", "store")))
			.containsExactly("store");
	}

	@Test
	void unknownNamesAreRejectedWithTheCodeOfTheirKind() {
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.graph.dependentsOf("m"))
			.matches((ex) -> ex.code() == ErrorCode.UNKNOWN_SERVICE);
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> this.graph.dependenciesOf(DependencyNode.model("x")))
			.matches((ex) -> ex.code() == ErrorCode.UNKNOWN_MODEL);
	}

	@Test
	void aCycleHasNoStartOrder() {
		DependencyGraph cyclic = new DependencyGraph(
				topology(List.of(service("archive", "b"), service("b", "archive"))));
		assertThatExceptionOfType(CodedException.class).isThrownBy(cyclic::startOrder)
			.matches((ex) -> ex.code() == ErrorCode.INVALID_SETTINGS);
	}

	@Property(tries = 300, seed = "4711")
	void everyServiceStartsAfterItsDependenciesWhateverTheOrderOfTheText(@ForAll long seed) {
		Random random = new Random(seed);
		List<ServiceSpec> services = new ArrayList<>();
		services.add(service("archive"));
		for (int i = 0; i < 20; i++) {
			int limit = i;
			services.add(service("s" + i,
					IntStream.range(0, limit)
						.filter((j) -> random.nextInt(4) == 0)
						.mapToObj((j) -> "s" + j)
						.toArray(String[]::new)));
		}
		List<DependencyNode> order = new DependencyGraph(topology(services)).startOrder();
		Set<String> started = new HashSet<>();
		for (DependencyNode node : order) {
			services.stream()
				.filter((service) -> DependencyNode.service(service.name()).equals(node))
				.forEach((service) -> assertThat(started).containsAll(service.depends()));
			started.add(node.name());
		}
		assertThat(order).hasSize(services.size() + 1);
		Collections.shuffle(services, random);
		assertThat(new DependencyGraph(topology(services)).startOrder()).isEqualTo(order);
	}

	private static ServiceSpec service(String name, String... depends) {
		return new ServiceSpec(name, List.of(), Optional.empty(), false, Set.of(), List.of(depends), 1);
	}

	private static Topology topology(List<ServiceSpec> services) {
		ModelSpec model = new ModelSpec("m", 1, "1", List.of(), List.of("archive"));
		return new Topology(List.of(model), List.of(), List.of(), services, List.of(), List.of(), List.of(), List.of());
	}

}
