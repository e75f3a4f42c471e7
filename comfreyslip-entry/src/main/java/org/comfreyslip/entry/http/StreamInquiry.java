package org.comfreyslip.entry.http;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds out which parts of a silent stream's path are lost: from the report of the first
 * part, which is some hundred ms old, and from whether the other parts answer now.
 */
final class StreamInquiry {

	/**
	 * Divisor of the number of parts that may be silent at most. More silence is likely
	 * on this host's side.
	 */
	private static final int MOST_SILENT_DIVISOR = 3;

	private final int parts;

	private final Consumer<Router.Finding> done;

	private final Set<String> silent = new HashSet<>();

	private int open;

	private Router.Finding reported;

	private boolean closed;

	StreamInquiry(int parts, int questions, Consumer<Router.Finding> done) {
		this.parts = parts;
		this.open = questions + 1;
		this.done = done;
	}

	void onReport(Router.Finding finding) {
		this.reported = finding;
		this.open--;
		close();
	}

	void onProbe(String id, boolean answers) {
		if (!answers) {
			this.silent.add(id);
		}
		this.open--;
		close();
	}

	private void close() {
		boolean decided = this.reported != null && this.reported.verdict() != Router.Verdict.WORKING;
		if (this.closed || (this.open > 0 && !decided)) {
			return;
		}
		this.closed = true;
		boolean lost = !decided && !this.silent.isEmpty()
				&& this.silent.size() <= Math.max(1, this.parts / MOST_SILENT_DIVISOR);
		this.done.accept((lost) ? new Router.Finding(Router.Verdict.STALLED, this.silent) : this.reported);
	}

}
