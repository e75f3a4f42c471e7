package org.comfreyslip.daemon.http;

import java.util.function.LongSupplier;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;

/**
 * Measures the times to the first token and between tokens.
 */
final class TimedAnswerSink implements AnswerSink {

	private final AnswerSink sink;

	private final RequestMetrics metrics;

	private final LongSupplier clock;

	private boolean begun;

	private long last;

	TimedAnswerSink(AnswerSink sink, RequestMetrics metrics, LongSupplier clock) {
		this.sink = sink;
		this.metrics = metrics;
		this.clock = clock;
		this.last = clock.getAsLong();
	}

	@Override
	public void onToken(int index, GeneratedToken token) {
		long now = this.clock.getAsLong();
		if (this.begun) {
			this.metrics.nextToken(now - this.last);
		}
		else {
			this.metrics.firstToken(now - this.last);
		}
		this.begun = true;
		this.last = now;
		this.sink.onToken(index, token);
	}

	@Override
	public void onFinish(FinishReason reason) {
		this.sink.onFinish(reason);
	}

	@Override
	public void onFailure(CodedException error) {
		this.sink.onFailure(error);
	}

}
