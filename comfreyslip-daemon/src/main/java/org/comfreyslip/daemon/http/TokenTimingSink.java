package org.comfreyslip.daemon.http;

import java.util.function.LongSupplier;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;

/**
 * Records the time to the first token and the times between tokens, and passes each call
 * on to another sink.
 */
final class TokenTimingSink implements AnswerSink {

	private final AnswerSink delegate;

	private final RequestMetrics metrics;

	private final LongSupplier clock;

	private boolean firstTokenSeen;

	private long lastEventNanos;

	TokenTimingSink(AnswerSink delegate, RequestMetrics metrics, LongSupplier clock) {
		this.delegate = delegate;
		this.metrics = metrics;
		this.clock = clock;
		this.lastEventNanos = clock.getAsLong();
	}

	@Override
	public void onToken(int index, GeneratedToken token) {
		long nowNanos = this.clock.getAsLong();
		if (this.firstTokenSeen) {
			this.metrics.recordTokenInterval(nowNanos - this.lastEventNanos);
		}
		else {
			this.metrics.recordFirstToken(nowNanos - this.lastEventNanos);
		}
		this.firstTokenSeen = true;
		this.lastEventNanos = nowNanos;
		this.delegate.onToken(index, token);
	}

	@Override
	public void onFinish(FinishReason reason) {
		this.delegate.onFinish(reason);
	}

	@Override
	public void onFailure(CodedException error) {
		this.delegate.onFailure(error);
	}

}
