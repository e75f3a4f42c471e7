package org.comfreyslip.load.run;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against incomplete or wrong streams that pass as complete answers.
 */
class StreamCheckTests {

	private static final List<String> REFERENCE = List.of("t1 ", "t2 ");

	private static final String FIRST = "data: {\"choices\":[{\"index\":0,\"text\":\"t1 \"}]}";

	private static final String SECOND = "data: {\"choices\":[{\"index\":0,\"text\":\"t2 \"}]}";

	private static final String FINISH = "data: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"length\"}]}";

	private static final String DONE = "data: [DONE]";

	@Test
	void aCompleteStreamIsDoneWithoutViolation() {
		assertThat(judge(FIRST, "", SECOND, FINISH, DONE)).isEqualTo(new Answer(AnswerClass.DONE, null, 2, null));
	}

	@Test
	void aStreamThatBreaksOffIsIncomplete() {
		assertThat(judge(FIRST, SECOND).answerClass()).isEqualTo(AnswerClass.INCOMPLETE);
		assertThat(judge(FIRST, SECOND, FINISH).answerClass()).isEqualTo(AnswerClass.INCOMPLETE);
	}

	@Test
	void aMissingARepeatedAndAWrongTokenAreViolations() {
		assertThat(judge(FIRST, FINISH, DONE).violation()).contains("1 of 2");
		assertThat(judge(FIRST, FIRST, SECOND, FINISH, DONE).violation()).contains("token 1 differs");
		assertThat(judge(SECOND, FINISH, DONE).violation()).contains("token 0 differs");
		assertThat(judge(FIRST, SECOND, SECOND, FINISH, DONE).violation()).contains("token 2 differs");
	}

	@Test
	void aWrongTokenOfAnIncompleteStreamIsAViolation() {
		assertThat(judge(SECOND).violation()).contains("token 0 differs");
	}

	@Test
	void eventsOutOfPlaceAreViolations() {
		assertThat(judge(FIRST, FINISH, SECOND, DONE).violation()).contains("follows the finish reason");
		assertThat(judge(FIRST, SECOND, DONE).violation()).contains("no finish reason");
		assertThat(judge(FIRST, SECOND, FINISH, DONE, DONE).violation()).contains("follows the last one");
		assertThat(judge(FIRST.replace("\"index\":0", "\"index\":1")).violation()).contains("index 0");
	}

	@Test
	void anErrorEventKeepsItsMeaning() {
		String error = "data: {\"error\":{\"code\":\"OUTCOME_UNKNOWN\",\"not_run\":false}}";
		Answer answer = judge(FIRST, error);
		assertThat(answer.answerClass()).isEqualTo(AnswerClass.UNKNOWN);
		assertThat(answer.code()).isEqualTo("OUTCOME_UNKNOWN");
		assertThat(judge(FIRST, error.replace("false", "true")).answerClass()).isEqualTo(AnswerClass.NOT_RUN);
	}

	private static Answer judge(String... lines) {
		StreamCheck check = new StreamCheck(REFERENCE);
		for (String line : lines) {
			check.line(line, 0);
		}
		return check.judge();
	}

}
