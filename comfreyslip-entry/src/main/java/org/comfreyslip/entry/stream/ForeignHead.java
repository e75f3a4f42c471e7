package org.comfreyslip.entry.stream;

import java.nio.charset.StandardCharsets;
import java.util.Set;

import org.comfreyslip.entry.model.StatusLinePattern;

/**
 * Finds the head of a response among the lines of an event. It gets there if a stream
 * breaks off and its endpoint writes another response behind it.
 */
final class ForeignHead {

	/** Fields of an event. Its first line may have another name. */
	private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry");

	private ForeignHead() {
	}

	/**
	 * Tells whether an event holds the head of a response: a line that begins with a
	 * status line, or one that holds a status line and is followed by a field that events
	 * do not have. The text of a sound event may hold a status line.
	 * @param bytes holds the event
	 * @param start index of its first byte
	 * @param end index after its last byte
	 * @return whether it does
	 */
	static boolean isIn(byte[] bytes, int start, int end) {
		if (!StatusLinePattern.mayBeIn(bytes, start, end)) {
			return false;
		}
		String[] lines = new String(bytes, start, end - start, StandardCharsets.ISO_8859_1).split("\r?\n");
		for (int index = 0; index < lines.length; index++) {
			boolean foreignLineFollows = index + 1 < lines.length && !isLineOfEvent(lines[index + 1]);
			if (StatusLinePattern.isAtStartOf(lines[index])
					|| (foreignLineFollows && StatusLinePattern.isIn(lines[index]))) {
				return true;
			}
		}
		return false;
	}

	private static boolean isLineOfEvent(String line) {
		int colon = line.indexOf(':');
		return colon == 0 || EVENT_FIELDS.contains((colon < 0) ? line : line.substring(0, colon));
	}

}
