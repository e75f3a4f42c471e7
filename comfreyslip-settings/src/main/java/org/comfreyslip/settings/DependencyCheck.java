package org.comfreyslip.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reports services whose dependencies form a cycle.
 */
final class DependencyCheck {

	private final CheckedText text;

	private final FaultList faults;

	DependencyCheck(CheckedText text, FaultList faults) {
		this.text = text;
		this.faults = faults;
	}

	void run() {
		Map<String, List<String>> dependenciesByService = new HashMap<>();
		for (CheckedSection service : this.text.sections(OperatorTextSchema.SERVICE)) {
			dependenciesByService.putIfAbsent(service.name(), service.list("depends"));
		}
		for (List<String> cycle : DependencyCycles.find(dependenciesByService)) {
			this.faults.add("service " + cycle.get(0), "depends",
					"the cycle " + String.join(" -> ", cycle) + " -> " + cycle.get(0), "dependencies without a cycle",
					"remove one of these dependencies");
		}
	}

}
