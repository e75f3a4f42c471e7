package org.comfreyslip.load.report;

import java.util.List;
import java.util.Map;

import org.comfreyslip.load.run.Answer;
import org.comfreyslip.load.run.AnswerClass;
import org.comfreyslip.load.run.Observation;
import org.comfreyslip.load.run.RunResult;
import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.RequestKind;
import org.comfreyslip.load.scenario.Scenario;
import org.comfreyslip.load.scenario.ScenarioParser;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against latencies that leave out waiting before the send, and against rates that
 * count the warm-up.
 */
class RunSummarizerTests {

	private static final long SECOND = 1_000_000_000L;

	private static final Scenario SCENARIO = ScenarioParser.parse("s.ini",
			"[load]\nduration-seconds = 4\nwarm-up-seconds = 2\nrequests-per-second = 1\n", Map.of());

	@Test
	void latencyCountsFromTheIntendedTime() {
		RunSummary summary = summarize(100, stream(2 * SECOND, 3 * SECOND, 3 * SECOND + SECOND / 2));
		KindSummary streamed = summary.kinds().get("streamed");
		assertThat(streamed.firstToken().max()).isCloseTo(1_000, within(2.0));
		assertThat(streamed.betweenTokens().max()).isCloseTo(500, within(1.0));
		assertThat(streamed.whole().max()).isCloseTo(1_500, within(2.0));
	}

	@Test
	void theWarmUpIsNeitherInRatesNorInLatencies() {
		RunSummary summary = summarize(100, stream(SECOND, SECOND + 1, 3 * SECOND), stream(3 * SECOND, 3 * SECOND + 1));
		assertThat(summary.kinds().get("streamed").requests()).isEqualTo(1);
		assertThat(summary.tokensPerSecond()).isEqualTo(1);
	}

	@Test
	void theRatioComparesTokensWithTheBound() {
		assertThat(summarize(4, stream(2 * SECOND, 2 * SECOND + 1, 3 * SECOND)).ratioToBound()).isEqualTo(0.25);
		assertThat(summarize(0, stream(2 * SECOND, 2 * SECOND + 1)).ratioToBound()).isZero();
	}

	@Test
	void openStreamsAreTheMeanOverTheMeasuredTime() {
		assertThat(summarize(1, stream(0, 3 * SECOND), stream(2 * SECOND, 4 * SECOND)).openStreams()).isEqualTo(1.5);
	}

	@Test
	void violationsOfTheWarmUpCount() {
		Observation wrong = new Observation(new Arrival(0, 0, RequestKind.UNARY, 0, 0, "", 1), new long[0], 1, 1, null,
				new Answer(AnswerClass.DONE, null, 1, "the text differs"));
		assertThat(summarize(1, wrong).violationCount()).isEqualTo(1);
	}

	private static RunSummary summarize(double bound, Observation... seen) {
		return new RunSummarizer(SCENARIO).summarize(new RunResult(List.of(seen), List.of(), 0),
				new RunContext("", "c", 0, 0, bound, 0, List.of(), Map.of()));
	}

	private static Observation stream(long at, long... tokens) {
		return new Observation(new Arrival(0, at, RequestKind.STREAMED, 0, 0, "", tokens.length), tokens,
				tokens[tokens.length - 1], 1, null, new Answer(AnswerClass.DONE, null, tokens.length, null));
	}

}
