package org.comfreyslip.entry.prompt;

import java.util.Optional;
import java.util.function.Function;

import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.layers.StageCosts;

/**
 * Chooses paths by the lengths of prompts: long ones take paths on which they delay few
 * others as long as their own first event is in time, and short ones avoid those paths.
 */
public final class PromptPaths {

	/**
	 * Share of the objective for the first event up to which the expected time of a long
	 * prompt does not count; the rest covers waits that this daemon does not know.
	 */
	private static final double IN_TIME_SHARE = 0.5;

	private final WaitingPrompts waiting;

	/**
	 * Creates the choice.
	 * @param waiting the prompts of all daemons
	 */
	public PromptPaths(WaitingPrompts waiting) {
		this.waiting = waiting;
	}

	/**
	 * Finds a path for a prompt.
	 * @param prompt the prompt
	 * @param search finds the cheapest path with given added costs
	 * @param nowNanos the current steady time in ns
	 * @return the path; empty if the search finds none
	 */
	public Optional<LayerPath> find(Prompt prompt, Function<StageCosts, Optional<LayerPath>> search, long nowNanos) {
		if (!prompt.isLong() && !this.waiting.isActive(nowNanos)) {
			return search.apply(StageCosts.NONE);
		}
		PromptCosts costs = new PromptCosts(prompt, this.waiting, false, nowNanos);
		Optional<LayerPath> found = search.apply(costs);
		boolean mayBeLate = prompt.isLong()
				&& found.filter((path) -> costs.firstEventMs(path) > IN_TIME_SHARE * prompt.firstEventTargetMs())
					.isPresent();
		if (mayBeLate) {
			found = search.apply(new PromptCosts(prompt, this.waiting, true, nowNanos));
		}
		// In about 1 of 10,000 searches of random engines, the search finds a path with
		// some costs and none with others.
		return found.or(() -> search.apply(StageCosts.NONE));
	}

}
