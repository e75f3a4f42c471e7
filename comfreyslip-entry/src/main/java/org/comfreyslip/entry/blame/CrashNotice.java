package org.comfreyslip.entry.blame;

import java.util.List;
import java.util.Map;

/**
 * What a daemon tells the others about crashes.
 *
 * @param reports crashes under requests of the sender; may be empty
 * @param answered time in ns since the last answer to a request with a trait, by trait;
 * may be empty
 * @param convictions known causes; may be empty
 */
public record CrashNotice(List<CrashReport> reports, Map<String, Long> answered, List<KnownCause> convictions) {

	/**
	 * Tells whether there is nothing to tell.
	 * @return whether all components are empty
	 */
	public boolean isEmpty() {
		return this.reports.isEmpty() && this.answered.isEmpty() && this.convictions.isEmpty();
	}

	/**
	 * A conviction as it is passed on.
	 *
	 * @param traits its traits; not empty
	 * @param ageNanos time since its period began, in ns
	 * @param periodNanos length of its period, in ns
	 */
	public record KnownCause(List<String> traits, long ageNanos, long periodNanos) {
	}

}
