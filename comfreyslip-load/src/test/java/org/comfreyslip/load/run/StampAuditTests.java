package org.comfreyslip.load.run;

import java.util.List;

import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.RequestKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost and doubled stamps that go unnoticed.
 */
class StampAuditTests {

	@Test
	void agreementIsNoViolation() {
		assertThat(violations(AnswerClass.DONE, "k")).isEmpty();
		assertThat(violations(AnswerClass.NOT_RUN)).isEmpty();
		assertThat(violations(AnswerClass.UNKNOWN)).isEmpty();
		assertThat(violations(AnswerClass.UNKNOWN, "k")).isEmpty();
	}

	@Test
	void aLostADoubledAndADeniedStampAreViolations() {
		assertThat(violations(AnswerClass.DONE)).singleElement().asString().contains("is not recorded");
		assertThat(violations(AnswerClass.UNKNOWN, "k", "k")).singleElement().asString().contains("2 times");
		assertThat(violations(AnswerClass.NOT_RUN, "k")).singleElement().asString().contains("reported as not run");
	}

	private static List<String> violations(AnswerClass answerClass, String... recorded) {
		Arrival arrival = new Arrival(0, 0, RequestKind.STAMP, 0, 0, "c", 0);
		Observation stamp = new Observation(arrival, new long[0], 1, 1, "k", Answer.of(answerClass, null));
		return StampAudit.violations(List.of(stamp), List.of(recorded));
	}

}
