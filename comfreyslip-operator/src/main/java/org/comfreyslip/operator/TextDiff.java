package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

import org.comfreyslip.settings.IniDocument;
import org.comfreyslip.settings.IniEntry;
import org.comfreyslip.settings.IniSection;

/**
 * Difference between two texts by section and key. The order of sections and comments
 * have no effect on the system, so they are no difference.
 */
final class TextDiff {

	/** Value of a section itself. */
	private static final String PRESENT = "present";

	private TextDiff() {
	}

	/**
	 * Compares two texts.
	 * @param before the text in force
	 * @param after the new text
	 * @return the changes, sorted by section and key
	 */
	static List<TextChange> between(String before, String after) {
		Map<String, Map<String, String>> old = sections(before);
		Map<String, Map<String, String>> current = sections(after);
		TreeSet<String> names = new TreeSet<>(old.keySet());
		names.addAll(current.keySet());
		List<TextChange> changes = new ArrayList<>();
		for (String name : names) {
			addChanges(changes, name, old.get(name), current.get(name));
		}
		return List.copyOf(changes);
	}

	private static void addChanges(List<TextChange> changes, String section, Map<String, String> before,
			Map<String, String> after) {
		if (before == null || after == null) {
			changes
				.add(new TextChange(section, "", (before != null) ? PRESENT : null, (after != null) ? PRESENT : null));
		}
		Map<String, String> old = (before != null) ? before : Map.of();
		Map<String, String> current = (after != null) ? after : Map.of();
		TreeSet<String> keys = new TreeSet<>(old.keySet());
		keys.addAll(current.keySet());
		for (String key : keys) {
			if (!Objects.equals(old.get(key), current.get(key))) {
				changes.add(new TextChange(section, key, old.get(key), current.get(key)));
			}
		}
	}

	private static Map<String, Map<String, String>> sections(String text) {
		Map<String, Map<String, String>> sections = new LinkedHashMap<>();
		for (IniSection section : IniDocument.parse("", text).sections()) {
			Map<String, String> values = sections.computeIfAbsent(section.name(), (key) -> new LinkedHashMap<>());
			for (IniEntry entry : section.entries()) {
				values.put(entry.key(), entry.value());
			}
		}
		return sections;
	}

}
