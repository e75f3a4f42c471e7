package org.comfreyslip.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds cycles of dependencies between services.
 */
final class DependencyCheck {

	private final CheckedText text;

	private final FaultList faults;

	DependencyCheck(CheckedText text, FaultList faults) {
		this.text = text;
		this.faults = faults;
	}

	void run() {
		Map<String, List<String>> depends = new HashMap<>();
		for (CheckedSection service : this.text.sections(OperatorTextSchema.SERVICE)) {
			depends.putIfAbsent(service.name(), service.list("depends"));
		}
		for (List<String> cycle : DependencyCycles.find(depends)) {
			this.faults.add("service " + cycle.get(0), "depends",
					"the cycle " + String.join(" -> ", cycle) + " -> " + cycle.get(0), "dependencies without a cycle",
					"remove one of these dependencies");
		}
	}

}
