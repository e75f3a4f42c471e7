package org.comfreyslip.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Finds cycles in the dependencies between services. It does not recurse, because a chain
 * of dependencies can be as long as the text and would overflow the stack.
 */
final class DependencyCycles {

	private DependencyCycles() {
	}

	/**
	 * Finds at least one cycle of each group of services that depend on each other.
	 * @param dependenciesByService the dependencies of each service; unknown names are
	 * ignored
	 * @return the cycles, each in the order of its dependencies and starting at its
	 * alphabetically first service; empty if there are none
	 */
	static List<List<String>> find(Map<String, List<String>> dependenciesByService) {
		Map<String, List<String>> remaining = removeLeaves(dependenciesByService);
		List<List<String>> cycles = new ArrayList<>();
		Set<String> visited = new HashSet<>();
		for (String start : remaining.keySet()) {
			followDependencies(start, remaining, visited, cycles);
		}
		return cycles;
	}

	private static Map<String, List<String>> removeLeaves(Map<String, List<String>> dependenciesByService) {
		Map<String, Integer> remainingDependencyCounts = new HashMap<>();
		Map<String, List<String>> dependentsByService = new HashMap<>();
		Deque<String> leaves = new ArrayDeque<>();
		dependenciesByService.forEach((name, targets) -> {
			List<String> known = targets.stream().filter(dependenciesByService::containsKey).toList();
			known
				.forEach((target) -> dependentsByService.computeIfAbsent(target, (key) -> new ArrayList<>()).add(name));
			remainingDependencyCounts.put(name, known.size());
			if (known.isEmpty()) {
				leaves.add(name);
			}
		});
		Map<String, List<String>> remaining = new TreeMap<>(dependenciesByService);
		while (!leaves.isEmpty()) {
			String leaf = leaves.remove();
			remaining.remove(leaf);
			for (String dependent : dependentsByService.getOrDefault(leaf, List.of())) {
				if (remainingDependencyCounts.merge(dependent, -1, Integer::sum) == 0) {
					leaves.add(dependent);
				}
			}
		}
		return remaining;
	}

	// Every remaining service has a remaining dependency, so following dependencies
	// always ends at a service that was visited before.
	private static void followDependencies(String start, Map<String, List<String>> remaining, Set<String> visited,
			List<List<String>> cycles) {
		List<String> path = new ArrayList<>();
		Map<String, Integer> positions = new HashMap<>();
		String current = start;
		while (visited.add(current)) {
			positions.put(current, path.size());
			path.add(current);
			current = remaining.get(current).stream().filter(remaining::containsKey).findFirst().orElseThrow();
		}
		if (positions.containsKey(current)) {
			cycles.add(rotateToFirstName(path.subList(positions.get(current), path.size())));
		}
	}

	private static List<String> rotateToFirstName(List<String> cycle) {
		int first = cycle.indexOf(cycle.stream().min(String::compareTo).orElseThrow());
		List<String> rotated = new ArrayList<>(cycle.subList(first, cycle.size()));
		rotated.addAll(cycle.subList(0, first));
		return List.copyOf(rotated);
	}

}
