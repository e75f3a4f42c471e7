package org.comfreyslip.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds names that no section defines.
 */
final class ReferenceCheck {

	private final CheckedText text;

	private final FaultList faults;

	private final Map<SectionRule, Set<String>> names = new HashMap<>();

	ReferenceCheck(CheckedText text, FaultList faults) {
		this.text = text;
		this.faults = faults;
	}

	void run() {
		check(OperatorTextSchema.MODEL, "depends", OperatorTextSchema.SERVICE);
		check(OperatorTextSchema.SERVICE, "depends", OperatorTextSchema.SERVICE);
		check(OperatorTextSchema.ENGINE, "kind", OperatorTextSchema.KIND);
		check(OperatorTextSchema.ENGINE, "model", OperatorTextSchema.MODEL);
		check(OperatorTextSchema.ENDPOINT, "service", OperatorTextSchema.SERVICE);
	}

	private void check(SectionRule from, String key, SectionRule target) {
		Set<String> known = this.names.computeIfAbsent(target, this::namesOf);
		for (CheckedSection section : this.text.sections(from)) {
			for (String name : section.list(key)) {
				if (!known.contains(name)) {
					this.faults.add(section.header(), key, "the unknown " + target.type() + " " + name,
							"a " + target.type() + " that the text defines",
							"add [" + target.type() + " " + name + "] or correct the name");
				}
			}
		}
	}

	private Set<String> namesOf(SectionRule rule) {
		return this.text.sections(rule).stream().map(CheckedSection::name).collect(Collectors.toSet());
	}

}
