package org.comfreyslip.entry.http;

import java.util.Optional;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.prompt.Prompt;

/**
 * What the choice of a target depends on for one request.
 *
 * @param admitted the admitted request
 * @param tokens estimated number of tokens that the stream will hold at its end; 0 for
 * plain services
 * @param prompt the prompt; empty for plain services
 * @param attempts the sends so far
 */
record TargetQuery(RequestAdmission.AdmittedRequest admitted, int tokens, Optional<Prompt> prompt,
		SendAttempts attempts) {

	static TargetQuery of(RequestAdmission.AdmittedRequest admitted, HeaderTranslator.RequestFields fields,
			SendAttempts attempts) {
		return new TargetQuery(admitted, admitted.engine().map((engine) -> estimateTokens(engine, fields)).orElse(0),
				admitted.engine().map((engine) -> Prompt.of(engine, admitted.route(), fields.promptTokens())),
				attempts);
	}

	private static int estimateTokens(EngineSpec engine, HeaderTranslator.RequestFields fields) {
		int responseTokens = (fields.estimatedResponseTokens() > 0) ? fields.estimatedResponseTokens()
				: engine.meanResponseTokens();
		if (fields.maxResponseTokens() > 0) {
			responseTokens = Math.min(responseTokens, fields.maxResponseTokens());
		}
		int promptTokens = (fields.promptTokens() > 0) ? fields.promptTokens() : engine.meanPromptTokens();
		return promptTokens + responseTokens;
	}

	String service() {
		return this.admitted.service();
	}

	boolean isForEngine() {
		return this.admitted.engine().isPresent();
	}

	/**
	 * Tells whether an endpoint may take the request, apart from limits and loads.
	 * @param endpoint the endpoint
	 * @return whether the sends so far allow it
	 */
	boolean mayTake(Endpoint endpoint) {
		return (isForEngine()) ? mayBeFirstStage(endpoint) : this.attempts.isAllowed(endpoint);
	}

	/**
	 * Tells whether an endpoint may be the first stage of the request's path.
	 * @param endpoint the endpoint
	 * @return whether the sends so far allow it
	 */
	boolean mayBeFirstStage(Endpoint endpoint) {
		return this.attempts.mayBeFirstStage(endpoint, this.admitted.route());
	}

}
