package org.comfreyslip.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds keys that refer to a model, kind or service for which the text has no section.
 */
final class ReferenceCheck {

	private final CheckedText text;

	private final FaultList faults;

	private final Map<SectionRule, Set<String>> namesByRule = new HashMap<>();

	ReferenceCheck(CheckedText text, FaultList faults) {
		this.text = text;
		this.faults = faults;
	}

	void run() {
		checkReferences(OperatorTextSchema.MODEL, "depends", OperatorTextSchema.SERVICE);
		checkReferences(OperatorTextSchema.SERVICE, "depends", OperatorTextSchema.SERVICE);
		checkReferences(OperatorTextSchema.ENGINE, "kind", OperatorTextSchema.KIND);
		checkReferences(OperatorTextSchema.ENGINE, "model", OperatorTextSchema.MODEL);
		checkReferences(OperatorTextSchema.ENDPOINT, "service", OperatorTextSchema.SERVICE);
	}

	private void checkReferences(SectionRule source, String key, SectionRule target) {
		Set<String> known = this.namesByRule.computeIfAbsent(target, this::collectNames);
		for (CheckedSection section : this.text.sections(source)) {
			for (String name : section.list(key)) {
				if (!known.contains(name)) {
					this.faults.add(section.header(), key, "the unknown " + target.type() + " " + name,
							"a " + target.type() + " that the text defines",
							"add [" + target.type() + " " + name + "] or correct the name");
				}
			}
		}
	}

	private Set<String> collectNames(SectionRule rule) {
		return this.text.sections(rule).stream().map(CheckedSection::name).collect(Collectors.toSet());
	}

}
