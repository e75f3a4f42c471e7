package org.comfreyslip.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A text checked section by section against a list of section types. Checks between
 * sections build on it.
 */
final class CheckedText {

	private static final Pattern BLANKS = Pattern.compile("\\s+");

	private final List<SectionRule> rules;

	private final FaultList faults;

	private final Map<SectionRule, List<CheckedSection>> sections = new HashMap<>();

	private final Set<String> headers = new HashSet<>();

	private CheckedText(List<SectionRule> rules, FaultList faults) {
		this.rules = rules;
		this.faults = faults;
	}

	/**
	 * Checks each section by itself.
	 * @param document the parsed text
	 * @param rules the known section types
	 * @param faults receives the faults
	 * @return the known sections
	 */
	static CheckedText read(IniDocument document, List<SectionRule> rules, FaultList faults) {
		CheckedText checked = new CheckedText(rules, faults);
		document.faults().forEach(faults::add);
		if (document.sections().isEmpty() && !document.faults().isEmpty()) {
			return checked;
		}
		document.sections().forEach(checked::addSection);
		checked.addMissingSections();
		return checked;
	}

	/**
	 * Returns the sections of a type, in the order of the text.
	 * @param rule the type
	 * @return the sections, possibly empty
	 */
	List<CheckedSection> sections(SectionRule rule) {
		return this.sections.getOrDefault(rule, List.of());
	}

	private void addSection(IniSection section) {
		if (section.name().isEmpty()) {
			this.faults.add("", firstKey(section), "a line outside of any named section", "sections " + knownHeaders(),
					"write a section header above the line");
			return;
		}
		String[] words = BLANKS.split(section.name());
		SectionRule rule = this.rules.stream()
			.filter((candidate) -> candidate.type().equals(words[0]))
			.findFirst()
			.orElse(null);
		if (rule == null) {
			this.faults.add(section.name(), "", "an unknown section", "sections " + knownHeaders(),
					"correct the section's type or remove the section");
			return;
		}
		addKnownSection(section, rule, List.of(words).subList(1, words.length));
	}

	private void addKnownSection(IniSection section, SectionRule rule, List<String> names) {
		if (names.size() != rule.names() || !names.stream().allMatch(ValueRules.NAME.asMatchPredicate())) {
			this.faults.add(section.name(), "", "the header [" + section.name() + "]",
					rule.header() + ((rule.names() > 0) ? " with " + ValueRules.NAME_ALLOWED : ""),
					"correct the section's header");
			return;
		}
		if (!this.headers.add(rule.type() + " " + String.join(" ", names))) {
			this.faults.add(section.name(), "", "a second section of this name", "one section of each name",
					"merge the two sections or rename one");
		}
		CheckedSection checked = new CheckedSection(rule, section.name(), names, checkKeys(section, rule));
		this.sections.computeIfAbsent(rule, (key) -> new ArrayList<>()).add(checked);
	}

	private Map<String, String> checkKeys(IniSection section, SectionRule rule) {
		Map<String, String> values = new HashMap<>();
		Set<String> seen = new HashSet<>();
		for (IniEntry entry : section.entries()) {
			checkEntry(section, rule, entry, seen, values);
		}
		for (KeyRule key : rule.keys()) {
			if (key.required() && !seen.contains(key.name())) {
				this.faults.add(section.name(), key.name(), "no value", key.rule().allowed(),
						"add '" + key.name() + " = ...' to the section");
			}
		}
		return Map.copyOf(values);
	}

	private void checkEntry(IniSection section, SectionRule rule, IniEntry entry, Set<String> seen,
			Map<String, String> values) {
		KeyRule key = rule.findKey(entry.key()).orElse(null);
		if (key == null) {
			this.faults.add(section.name(), entry.key(), "an unknown key", "keys " + keyNames(rule),
					"correct the key's spelling or remove the line");
			return;
		}
		if (!seen.add(entry.key())) {
			this.faults.add(section.name(), entry.key(), "a second value, " + entry.value(), "one value for each key",
					"remove one of the two lines");
			return;
		}
		if (entry.value().isEmpty() || !key.rule().accepts().test(entry.value())) {
			this.faults.add(section.name(), entry.key(), entry.value().isEmpty() ? "an empty value" : entry.value(),
					key.rule().allowed(), ValueRules.remedyFor(key.rule(), entry.value()));
			return;
		}
		values.put(entry.key(), entry.value());
	}

	private void addMissingSections() {
		for (SectionRule rule : this.rules) {
			if (rule.required() && sections(rule).isEmpty()) {
				this.faults.add(rule.type(), "", "no such section", rule.header() + " once", "add the section");
			}
		}
	}

	private String knownHeaders() {
		return this.rules.stream().map(SectionRule::header).collect(Collectors.joining(", "));
	}

	private static String keyNames(SectionRule rule) {
		return rule.keys().stream().map(KeyRule::name).collect(Collectors.joining(", "));
	}

	private static String firstKey(IniSection section) {
		return section.entries().isEmpty() ? "" : section.entries().get(0).key();
	}

}
