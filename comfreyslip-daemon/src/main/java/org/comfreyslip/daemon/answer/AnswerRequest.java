package org.comfreyslip.daemon.answer;

import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.ModelSpec;

/**
 * A client's request for an answer of a model.
 *
 * @param id the identifier of the request, which also names the stream on the engines
 * @param account the client account that sent the request
 * @param model the model that generates the answer
 * @param prompt the text of the prompt
 * @param maxTokens the number of tokens after which the answer ends
 * @param deadlineNanos the monotonic time after which the client no longer waits, in ns
 * @param boundary decides whether the request is known not to have run or may have run
 */
public record AnswerRequest(String id, AccountSpec account, ModelSpec model, String prompt, int maxTokens,
		long deadlineNanos, CallBoundary boundary) {
}
