package org.comfreyslip.daemon.answer;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;

/**
 * Receives an answer. Calls come one at a time; after {@link #finish} or {@link #fail}
 * there are no more.
 */
public interface AnswerSink {

	/**
	 * Takes the next token.
	 * @param index the token's index, from 0 without gaps
	 * @param token the token
	 */
	void token(int index, GeneratedToken token);

	/**
	 * Takes the end of a complete answer.
	 * @param reason why it ended
	 */
	void finish(FinishReason reason);

	/**
	 * Takes the end of an answer that failed.
	 * @param error the error
	 */
	void fail(CodedException error);

}
