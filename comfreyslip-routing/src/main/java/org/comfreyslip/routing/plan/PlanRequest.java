package org.comfreyslip.routing.plan;

import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * What is to be planned.
 *
 * @param model the model's name
 * @param promptTokens the tokens of the prompt, at least 1; for a replacement also the
 * tokens emitted so far
 * @param expectedTokens the tokens that the response is expected to have, at least 1
 * @param excluded the names of engines that may not be used
 * @param cachedTokens the prompt tokens that an engine holds in its prefix cache, by
 * engine name
 */
public record PlanRequest(String model, int promptTokens, int expectedTokens, Set<String> excludedEngines,
		ToIntFunction<String> cachedTokensByEngine) {

	/**
	 * Creates a request without exclusions and without cached tokens.
	 * @param model the model's name
	 * @param promptTokens the tokens of the prompt
	 * @param expectedTokens the expected tokens of the response
	 * @return the request
	 */
	public static PlanRequest of(String model, int promptTokens, int expectedTokens) {
		return new PlanRequest(model, promptTokens, expectedTokens, Set.of(), (engine) -> 0);
	}

	/**
	 * Returns the request with other exclusions.
	 * @param names the names of engines that may not be used
	 * @return the new request
	 */
	public PlanRequest withExcludedEngines(Set<String> names) {
		return new PlanRequest(this.model, this.promptTokens, this.expectedTokens, names, this.cachedTokensByEngine);
	}

}
