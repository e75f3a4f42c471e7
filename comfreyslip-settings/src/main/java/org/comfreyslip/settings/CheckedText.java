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
 * The sections of an INI text after each was checked by itself against a list of section
 * rules. The checks that compare sections with each other take it as input.
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
	 * Checks each section by itself and adds the faults found, with those of the parser,
	 * to a list.
	 * @param document the parsed text
	 * @param rules the section types that the text may contain
	 * @param faults the list to which faults are added
	 * @return the sections with a known type and a valid header; empty if the parser
	 * rejected the whole text
	 */
	static CheckedText check(IniDocument document, List<SectionRule> rules, FaultList faults) {
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
	 * @param rule one of the rules of the check
	 * @return the sections, empty if the text has none of this type
	 */
	List<CheckedSection> sections(SectionRule rule) {
		return this.sections.getOrDefault(rule, List.of());
	}

	private void addSection(IniSection section) {
		if (section.name().isEmpty()) {
			this.faults.add("", firstKey(section), "a line outside of any named section",
					"sections " + joinHeaderTemplates(), "write a section header above the line");
			return;
		}
		String[] words = BLANKS.split(section.name());
		SectionRule rule = this.rules.stream()
			.filter((candidate) -> candidate.type().equals(words[0]))
			.findFirst()
			.orElse(null);
		if (rule == null) {
			this.faults.add(section.name(), "", "an unknown section", "sections " + joinHeaderTemplates(),
					"correct the section's type or remove the section");
			return;
		}
		addKnownSection(section, rule, List.of(words).subList(1, words.length));
	}

	private void addKnownSection(IniSection section, SectionRule rule, List<String> names) {
		if (names.size() != rule.nameCount() || !names.stream().allMatch(ValueRules.NAME.asMatchPredicate())) {
			this.faults.add(section.name(), "", "the header [" + section.name() + "]",
					rule.headerTemplate() + ((rule.nameCount() > 0) ? " with " + ValueRules.NAME_ALLOWED : ""),
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
				this.faults.add(section.name(), key.name(), "no value", key.valueRule().allowed(),
						"add '" + key.name() + " = ...' to the section");
			}
		}
		return Map.copyOf(values);
	}

	private void checkEntry(IniSection section, SectionRule rule, IniEntry entry, Set<String> seen,
			Map<String, String> values) {
		KeyRule key = rule.findKey(entry.key()).orElse(null);
		if (key == null) {
			this.faults.add(section.name(), entry.key(), "an unknown key", "keys " + joinKeyNames(rule),
					"correct the key's spelling or remove the line");
			return;
		}
		if (!seen.add(entry.key())) {
			this.faults.add(section.name(), entry.key(), "a second value, " + entry.value(), "one value for each key",
					"remove one of the two lines");
			return;
		}
		if (entry.value().isEmpty() || !key.valueRule().accepts().test(entry.value())) {
			this.faults.add(section.name(), entry.key(), entry.value().isEmpty() ? "an empty value" : entry.value(),
					key.valueRule().allowed(), ValueRules.remedyFor(key.valueRule(), entry.value()));
			return;
		}
		values.put(entry.key(), entry.value());
	}

	private void addMissingSections() {
		for (SectionRule rule : this.rules) {
			if (rule.required() && sections(rule).isEmpty()) {
				this.faults.add(rule.type(), "", "no such section", rule.headerTemplate() + " once", "add the section");
			}
		}
	}

	private String joinHeaderTemplates() {
		return this.rules.stream().map(SectionRule::headerTemplate).collect(Collectors.joining(", "));
	}

	private static String joinKeyNames(SectionRule rule) {
		return rule.keys().stream().map(KeyRule::name).collect(Collectors.joining(", "));
	}

	private static String firstKey(IniSection section) {
		return section.entries().isEmpty() ? "" : section.entries().get(0).key();
	}

}
