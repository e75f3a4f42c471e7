package org.comfreyslip.entry.prompt;

import org.comfreyslip.entry.EntryMetrics;

/** Size classes of prompts, each with the histogram of its times to the first event. */
public enum PromptSize {

	/** Up to the mean length of the service. */
	UP_TO_MEAN(EntryMetrics.Time.FIRST_EVENT_UP_TO_MEAN),

	/** Longer than the mean, up to twice the mean. */
	UP_TO_TWICE_MEAN(EntryMetrics.Time.FIRST_EVENT_UP_TO_TWICE_MEAN),

	/** Longer than twice the mean. */
	ABOVE_TWICE_MEAN(EntryMetrics.Time.FIRST_EVENT_ABOVE_TWICE_MEAN);

	private final EntryMetrics.Time metric;

	PromptSize(EntryMetrics.Time metric) {
		this.metric = metric;
	}

	static PromptSize of(int tokens, int meanTokens) {
		if (tokens <= meanTokens) {
			return UP_TO_MEAN;
		}
		return (tokens <= 2 * meanTokens) ? UP_TO_TWICE_MEAN : ABOVE_TWICE_MEAN;
	}

	/**
	 * Returns the histogram of the class.
	 * @return the times from arrival to the first event
	 */
	public EntryMetrics.Time metric() {
		return this.metric;
	}

}
