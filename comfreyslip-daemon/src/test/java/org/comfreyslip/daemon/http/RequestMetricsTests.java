package org.comfreyslip.daemon.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against metrics that grow with the number of accounts without a limit, and
 * against token times that are recorded in the wrong metric.
 */
class RequestMetricsTests {

	private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

	private final RequestMetrics metrics = new RequestMetrics(this.registry);

	@Test
	void accountsBeyondTheLimitShareOneSeries() {
		for (int i = 0; i < 3 * RequestMetrics.MAX_ACCOUNTS; i++) {
			this.metrics.countEnded("account-" + i, OutcomeClass.ANSWERED);
		}
		this.metrics.countEnded("account-0", OutcomeClass.ANSWERED);
		assertThat(this.registry.find("comfreyslip.requests").counters()).hasSize(RequestMetrics.MAX_ACCOUNTS + 1);
		assertThat(count("account-0", "answered")).isEqualTo(2);
		assertThat(count(RequestMetrics.OTHER_ACCOUNTS, "answered")).isEqualTo(2 * RequestMetrics.MAX_ACCOUNTS);
	}

	@Test
	void refusedRequestsAreCountedWithoutAnAccount() {
		this.metrics.countRefused();
		assertThat(count(RequestMetrics.NO_ACCOUNT, "not-run")).isEqualTo(1);
	}

	@Test
	void timeToFirstTokenIsRecordedApartFromTokenIntervals() {
		AtomicLong clock = new AtomicLong(5);
		AnswerSink sink = new TokenTimingSink(new IgnoringSink(), this.metrics, clock::get);
		for (long time : new long[] { 105, 115, 135 }) {
			clock.set(time);
			sink.onToken(0, null);
		}
		assertThat(total("comfreyslip.first.token")).isEqualTo(100);
		assertThat(total("comfreyslip.between.tokens")).isEqualTo(30);
		assertThat(this.registry.get("comfreyslip.between.tokens").timer().count()).isEqualTo(2);
	}

	private double count(String account, String outcome) {
		return this.registry.get("comfreyslip.requests")
			.tag("account", account)
			.tag("outcome", outcome)
			.counter()
			.count();
	}

	private double total(String timer) {
		return this.registry.get(timer).timer().totalTime(TimeUnit.NANOSECONDS);
	}

	/**
	 * Ignores all tokens and the end of the completion.
	 */
	private static final class IgnoringSink implements AnswerSink {

		@Override
		public void onToken(int index, GeneratedToken token) {
		}

		@Override
		public void onFinish(FinishReason reason) {
		}

		@Override
		public void onFailure(CodedException error) {
		}

	}

}
