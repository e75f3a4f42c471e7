package org.comfreyslip.daemon.answer;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;

/**
 * Receives the tokens of an answer and its end. Methods are called one at a time; after
 * {@link #onFinish} or {@link #onFailure} no method is called again.
 */
public interface AnswerSink {

	/**
	 * Called for each token of the answer.
	 * @param index the index of the token, from 0 without gaps
	 * @param token the generated token
	 */
	void onToken(int index, GeneratedToken token);

	/**
	 * Called when the answer is complete.
	 * @param reason why the model stopped generating
	 */
	void onFinish(FinishReason reason);

	/**
	 * Called when the answer has failed, possibly after some of its tokens.
	 * @param error the error to report to the client
	 */
	void onFailure(CodedException error);

}
