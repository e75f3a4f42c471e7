package org.comfreyslip.routing.pipeline;

/**
 * Limits of one run. Durations are in nanoseconds; the deadline is a time of the
 * monotonic clock that drives the run.
 *
 * @param maxTokens the number of tokens after which the response ends
 * @param deadlineNanos the time at which the caller stops waiting
 * @param stepTimeoutNanos the timeout of a step of one position
 * @param timeoutPerPositionNanos the additional timeout for each further position of a
 * step
 * @param transferTimeoutNanos the timeout of a KV cache transfer
 * @param replacementWaitNanos how long a run waits for an engine that can take over the
 * layers of a lost stage
 * @param maxRecoveries the most stage failures that a run recovers from; the next one
 * fails the run
 */
public record PipelineLimits(int maxTokens, long deadlineNanos, long stepTimeoutNanos, long timeoutPerPositionNanos,
		long transferTimeoutNanos, long replacementWaitNanos, int maxRecoveries) {

	long stepTimeoutNanos(int positions) {
		return this.stepTimeoutNanos + this.timeoutPerPositionNanos * (positions - 1);
	}

}
