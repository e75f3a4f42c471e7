package org.comfreyslip.load.run;

/**
 * The judgement of one answer.
 *
 * @param answerClass how the request ended
 * @param code the error code, or {@code null}
 * @param tokens the number of tokens received
 * @param violation what is wrong with the answer, or {@code null}
 */
public record Answer(AnswerClass answerClass, String code, int tokens, String violation) {

	static Answer of(AnswerClass answerClass, String code) {
		return new Answer(answerClass, code, 0, null);
	}

	/**
	 * Returns whether the request ended well.
	 * @return {@code true} for a complete answer
	 */
	public boolean isDone() {
		return this.answerClass == AnswerClass.DONE;
	}

}
