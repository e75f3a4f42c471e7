package org.comfreyslip.daemon.answer;

import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.ModelSpec;

/**
 * A caller's request for an answer of a model.
 *
 * @param id the request's id, which also names the stream on the engines
 * @param account the client account
 * @param model the model
 * @param prompt the prompt's text
 * @param maxTokens the number of tokens after which the answer ends
 * @param deadline the time at which the caller no longer waits, in monotonic ns
 * @param boundary the boundary between "not run" and "may have run"
 */
public record AnswerRequest(String id, AccountSpec account, ModelSpec model, String prompt, int maxTokens,
		long deadline, CallBoundary boundary) {
}
