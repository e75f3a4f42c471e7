package org.comfreyslip.load.embedded;

import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Lines of the garbage collector's log, as written with {@code -Xlog:gc}.
 */
final class GcLine {

	private static final Pattern PAUSE = Pattern.compile("\\[gc *].* Pause .* \\d+M->(\\d+)M\\(\\d+M\\)");

	private GcLine() {
	}

	/**
	 * Returns the heap in use after a collection.
	 * @param line a line of output
	 * @return megabytes, or empty if the line is not about a collection
	 */
	static OptionalLong heapAfter(String line) {
		Matcher matcher = PAUSE.matcher(line);
		return matcher.find() ? OptionalLong.of(Long.parseLong(matcher.group(1))) : OptionalLong.empty();
	}

	/**
	 * Returns the least heap after any of the collections. Later collections include
	 * objects that died in the old generation, so that the least value is the closest to
	 * the live objects.
	 * @param lines lines of output
	 * @return megabytes, -1 without a collection
	 */
	static long leastHeapAfter(List<String> lines) {
		return lines.stream().map(GcLine::heapAfter).flatMapToLong(OptionalLong::stream).min().orElse(-1);
	}

}
