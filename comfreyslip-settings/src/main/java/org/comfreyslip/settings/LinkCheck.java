package org.comfreyslip.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds links from a data centre to itself and second links between the same two data
 * centres. One link covers both directions.
 */
final class LinkCheck {

	private final CheckedText text;

	private final FaultList faults;

	LinkCheck(CheckedText text, FaultList faults) {
		this.text = text;
		this.faults = faults;
	}

	void run() {
		Set<List<String>> seen = new HashSet<>();
		for (CheckedSection link : this.text.sections(OperatorTextSchema.LINK)) {
			List<String> names = link.names();
			if (names.get(0).equals(names.get(1))) {
				this.faults.add(link.header(), "", "the same data centre twice", "two different data centres",
						"correct one of the names");
			}
			else if (seen.contains(List.of(names.get(1), names.get(0)))) {
				this.faults.add(link.header(), "", "a second link between these data centres",
						"one link for both directions", "remove one of the two sections");
			}
			seen.add(names);
		}
	}

}
