package org.comfreyslip.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.routing.topology.ServiceSpec;
import org.comfreyslip.routing.topology.Topology;

/**
 * Dependencies of the services and models of one operators' configuration text. The graph
 * is immutable. It expects a text that {@link OperatorTextChecker} found valid: each
 * dependency is defined and there are no cycles.
 */
public final class DependencyGraph {

	private final Map<DependencyNode, List<DependencyNode>> dependencies = new TreeMap<>();

	private final Map<DependencyNode, List<DependencyNode>> dependents = new HashMap<>();

	/**
	 * Creates the graph of a topology.
	 * @param topology the services and models of a valid text
	 */
	public DependencyGraph(Topology topology) {
		for (ServiceSpec service : topology.services()) {
			addNode(DependencyNode.service(service.name()), service.depends());
		}
		for (ModelSpec model : topology.models()) {
			addNode(DependencyNode.model(model.name()), model.depends());
		}
	}

	private void addNode(DependencyNode node, List<String> serviceNames) {
		List<DependencyNode> targets = serviceNames.stream().distinct().map(DependencyNode::service).toList();
		this.dependencies.put(node, targets);
		targets.forEach((target) -> this.dependents.computeIfAbsent(target, (key) -> new ArrayList<>()).add(node));
	}

	/**
	 * Returns everything that depends on a service, directly or indirectly.
	 * @param service the service's name
	 * @return services and models, sorted by kind and name, without the service itself
	 * @throws CodedException with code {@code UNKNOWN_SERVICE} if the text does not
	 * define it
	 */
	public Set<DependencyNode> dependentsOf(String service) {
		return collectReachable(requireKnown(DependencyNode.service(service)), this.dependents);
	}

	/**
	 * Returns the services that a service or model depends on, directly or indirectly.
	 * @param node the service or model
	 * @return services, sorted by name, without the node itself
	 * @throws CodedException with code {@code UNKNOWN_SERVICE} or {@code UNKNOWN_MODEL}
	 * if the text does not define it
	 */
	public Set<DependencyNode> dependenciesOf(DependencyNode node) {
		return collectReachable(requireKnown(node), this.dependencies);
	}

	/**
	 * Returns an order in which each service and model comes after everything that it
	 * depends on. The order depends only on the names, not on the order of the text.
	 * @return all services and models
	 * @throws CodedException with code {@code INVALID_SETTINGS} if dependencies form a
	 * cycle
	 */
	public List<DependencyNode> startOrder() {
		Map<DependencyNode, Integer> unstartedDependencyCounts = new HashMap<>();
		PriorityQueue<DependencyNode> startable = new PriorityQueue<>();
		this.dependencies.forEach((node, targets) -> {
			unstartedDependencyCounts.put(node, targets.size());
			if (targets.isEmpty()) {
				startable.add(node);
			}
		});
		List<DependencyNode> order = new ArrayList<>();
		while (!startable.isEmpty()) {
			DependencyNode next = startable.remove();
			order.add(next);
			for (DependencyNode dependent : this.dependents.getOrDefault(next, List.of())) {
				if (unstartedDependencyCounts.merge(dependent, -1, Integer::sum) == 0) {
					startable.add(dependent);
				}
			}
		}
		if (order.size() < this.dependencies.size()) {
			throw new CodedException(ErrorCode.INVALID_SETTINGS,
					"the dependencies form a cycle, so there is no start order; run 'check' on the text");
		}
		return order;
	}

	/**
	 * Returns the services whose outage is the root cause of the failure of a service or
	 * model: those that are down while everything they depend on is up.
	 * @param node the service or model
	 * @param downServices the names of the services that are down
	 * @return the services to restore first, sorted; the service itself if only it is
	 * down; empty if neither the node nor anything that it depends on is down
	 * @throws CodedException with code {@code UNKNOWN_SERVICE} or {@code UNKNOWN_MODEL}
	 * if the text does not define the node
	 */
	public List<String> rootCauses(DependencyNode node, Collection<String> downServices) {
		Set<DependencyNode> needed = dependenciesOf(node);
		needed.add(node);
		Set<DependencyNode> downNodes = new TreeSet<>(needed);
		downNodes.removeIf(
				(candidate) -> candidate.kind() != DependencyKind.SERVICE || !downServices.contains(candidate.name()));
		return downNodes.stream()
			.filter((candidate) -> dependenciesOf(candidate).stream().noneMatch(downNodes::contains))
			.map(DependencyNode::name)
			.toList();
	}

	private DependencyNode requireKnown(DependencyNode node) {
		if (!this.dependencies.containsKey(node)) {
			ErrorCode code = (node.kind() == DependencyKind.MODEL) ? ErrorCode.UNKNOWN_MODEL
					: ErrorCode.UNKNOWN_SERVICE;
			throw new CodedException(code, "the text defines no " + node);
		}
		return node;
	}

	private static Set<DependencyNode> collectReachable(DependencyNode start,
			Map<DependencyNode, List<DependencyNode>> edges) {
		Set<DependencyNode> found = new TreeSet<>();
		Deque<DependencyNode> pending = new ArrayDeque<>(edges.getOrDefault(start, List.of()));
		while (!pending.isEmpty()) {
			DependencyNode next = pending.remove();
			if (found.add(next)) {
				pending.addAll(edges.getOrDefault(next, List.of()));
			}
		}
		found.remove(start);
		return found;
	}

}
