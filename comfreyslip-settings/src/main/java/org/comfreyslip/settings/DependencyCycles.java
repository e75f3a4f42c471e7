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
 * Finds cycles without recursion, because a chain of dependencies can be as long as the
 * text.
 */
final class DependencyCycles {

	private DependencyCycles() {
	}

	/**
	 * Finds at least one cycle of each group of services that depend on each other.
	 * @param depends the dependencies of each service; unknown names are ignored
	 * @return the cycles, each from its alphabetically first service
	 */
	static List<List<String>> find(Map<String, List<String>> depends) {
		Map<String, List<String>> remaining = withoutLeaves(depends);
		List<List<String>> cycles = new ArrayList<>();
		Set<String> visited = new HashSet<>();
		for (String start : remaining.keySet()) {
			walk(start, remaining, visited, cycles);
		}
		return cycles;
	}

	private static Map<String, List<String>> withoutLeaves(Map<String, List<String>> depends) {
		Map<String, Integer> open = new HashMap<>();
		Map<String, List<String>> dependents = new HashMap<>();
		Deque<String> leaves = new ArrayDeque<>();
		depends.forEach((name, targets) -> {
			List<String> known = targets.stream().filter(depends::containsKey).toList();
			known.forEach((target) -> dependents.computeIfAbsent(target, (key) -> new ArrayList<>()).add(name));
			open.put(name, known.size());
			if (known.isEmpty()) {
				leaves.add(name);
			}
		});
		Map<String, List<String>> remaining = new TreeMap<>(depends);
		while (!leaves.isEmpty()) {
			String leaf = leaves.remove();
			remaining.remove(leaf);
			for (String dependent : dependents.getOrDefault(leaf, List.of())) {
				if (open.merge(dependent, -1, Integer::sum) == 0) {
					leaves.add(dependent);
				}
			}
		}
		return remaining;
	}

	// Every remaining service has a remaining dependency, so the walk ends at a
	// repetition.
	private static void walk(String start, Map<String, List<String>> remaining, Set<String> visited,
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
			cycles.add(rotated(path.subList(positions.get(current), path.size())));
		}
	}

	private static List<String> rotated(List<String> cycle) {
		int first = cycle.indexOf(cycle.stream().min(String::compareTo).orElseThrow());
		List<String> rotated = new ArrayList<>(cycle.subList(first, cycle.size()));
		rotated.addAll(cycle.subList(0, first));
		return List.copyOf(rotated);
	}

}
