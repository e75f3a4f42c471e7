package org.comfreyslip.load.report;

import java.util.List;
import java.util.stream.LongStream;

import org.comfreyslip.load.run.Answer;
import org.comfreyslip.load.run.AnswerClass;
import org.comfreyslip.load.run.FaultEvent;
import org.comfreyslip.load.run.Observation;
import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.RequestKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against recovery times that start late or take an unaffected stream for the
 * recovered one.
 */
class RecoveryTimesTests {

	private static final long MILLI = 1_000_000;

	@Test
	void theSlowestOpenStreamDecides() {
		Recovery recovery = recover(stream(AnswerClass.DONE, 4_990, 5_010, 5_030),
				stream(AnswerClass.DONE, 4_980, 5_400, 5_410));
		assertThat(recovery.firstSuccess()).isEqualTo(400);
		assertThat(recovery.openStreams()).isEqualTo(2);
		assertThat(recovery.lostStreams()).isZero();
	}

	@Test
	void aLostStreamIsCountedAndSetsNoTime() {
		Recovery recovery = recover(stream(AnswerClass.INCOMPLETE, 4_990, 5_010));
		assertThat(recovery.lostStreams()).isEqualTo(1);
		assertThat(recovery.firstSuccess()).isEqualTo(-1);
	}

	@Test
	void theRateIsRestoredAtTheStartOfTheFirstFullWindow() {
		long[] tokens = LongStream
			.concat(LongStream.range(0, 500).map((i) -> i * 10), LongStream.range(0, 300).map((i) -> 6_000 + i * 10))
			.toArray();
		Recovery recovery = recover(stream(AnswerClass.DONE, tokens));
		// A window that starts 50 ms early still has 90% of the tokens.
		assertThat(recovery.rateRestored()).isCloseTo(950, within(20.0));
	}

	@Test
	void aRateThatNeverReturnsIsNotReached() {
		assertThat(
				recover(stream(AnswerClass.DONE, LongStream.range(0, 500).map((i) -> i * 10).toArray())).rateRestored())
			.isEqualTo(-1);
	}

	private static Recovery recover(Observation... seen) {
		return RecoveryTimes.of(List.of(new FaultEvent("f", "e", "KILL", 5_000 * MILLI)), List.of(seen)).get(0);
	}

	private static Observation stream(AnswerClass answerClass, long... tokenMillis) {
		long[] tokens = LongStream.of(tokenMillis).map((millis) -> millis * MILLI).toArray();
		return new Observation(new Arrival(0, 0, RequestKind.STREAMED, 0, 0, "", tokens.length), tokens,
				Math.max(tokens[tokens.length - 1], 5_001 * MILLI), 1, null,
				new Answer(answerClass, null, tokens.length, null));
	}

}
