package org.comfreyslip.routing.plan;

import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * A response for which engines are to be planned.
 *
 * @param model the model's name
 * @param promptTokens the number of prompt tokens, at least 1; for a replacement, the
 * tokens generated so far are included
 * @param expectedTokens the number of tokens that the response is expected to have, at
 * least 1
 * @param excludedEngines the names of engines that must not be used, possibly empty
 * @param cachedTokensByEngine maps an engine name to the number of prompt tokens that the
 * engine is expected to hold in its prefix cache
 */
public record PlanRequest(String model, int promptTokens, int expectedTokens, Set<String> excludedEngines,
		ToIntFunction<String> cachedTokensByEngine) {

	/**
	 * Creates a request without excluded engines and without cached tokens.
	 * @param model the model's name
	 * @param promptTokens the number of prompt tokens, at least 1
	 * @param expectedTokens the expected number of tokens of the response, at least 1
	 * @return the request
	 */
	public static PlanRequest of(String model, int promptTokens, int expectedTokens) {
		return new PlanRequest(model, promptTokens, expectedTokens, Set.of(), (engine) -> 0);
	}

	/**
	 * Returns this request with other engines excluded.
	 * @param names the names of engines that must not be used; they replace the current
	 * ones
	 * @return the new request
	 */
	public PlanRequest withExcludedEngines(Set<String> names) {
		return new PlanRequest(this.model, this.promptTokens, this.expectedTokens, names, this.cachedTokensByEngine);
	}

}
