package org.comfreyslip.load.scenario;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Typed values of one section. Keys that nobody asked for are reported, so that a
 * misspelt key does not silently leave a default in place.
 */
final class ScenarioSection {

	private final String place;

	private final Map<String, String> values;

	private final Set<String> unused;

	ScenarioSection(String file, String section, Map<String, String> values) {
		this.place = file + ": [" + section + "] ";
		this.values = new HashMap<>(values);
		this.unused = new TreeSet<>(values.keySet());
	}

	String text(String key, String otherwise) {
		this.unused.remove(key);
		return this.values.getOrDefault(key, otherwise);
	}

	List<String> list(String key) {
		return Arrays.stream(text(key, "").split(",")).map(String::strip).filter((item) -> !item.isEmpty()).toList();
	}

	int integer(String key, int otherwise, int least, int most) {
		String text = text(key, Integer.toString(otherwise));
		try {
			int value = Integer.parseInt(text);
			if (value >= least && value <= most) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers outside the range.
		}
		throw fault(key, text, "a whole number from " + least + " to " + most);
	}

	double number(String key, double otherwise) {
		String text = text(key, Double.toString(otherwise));
		try {
			double value = Double.parseDouble(text);
			if (value >= 0 && value < Double.POSITIVE_INFINITY) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with negative numbers.
		}
		throw fault(key, text, "a number of at least 0");
	}

	IntRange range(String key, IntRange otherwise, int most) {
		String text = text(key, otherwise.least() + "-" + otherwise.most());
		String[] ends = text.split("-", 2);
		try {
			int first = Integer.parseInt(ends[0].strip());
			int last = (ends.length > 1) ? Integer.parseInt(ends[1].strip()) : first;
			if (first >= 1 && first <= last && last <= most) {
				return new IntRange(first, last);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with ranges that are out of order.
		}
		throw fault(key, text, "least-most within 1 to " + most);
	}

	ScenarioException fault(String key, String found, String allowed) {
		return new ScenarioException(this.place + key + ": found '" + found + "'; allowed: " + allowed);
	}

	void requireAllUsed() {
		if (!this.unused.isEmpty()) {
			throw new ScenarioException(this.place + "has unknown keys " + this.unused);
		}
	}

}
