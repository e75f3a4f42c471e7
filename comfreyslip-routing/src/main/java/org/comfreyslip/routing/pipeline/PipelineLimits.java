package org.comfreyslip.routing.pipeline;

/**
 * Limits of one run. All times are in nanoseconds.
 *
 * @param maxTokens the number of tokens after which the answer ends
 * @param deadline the time at which the caller no longer waits
 * @param stepTimeout the time limit of a step of one position
 * @param timeoutPerPosition the additional time for each further position of a step
 * @param transferTimeout the time limit of a KV cache transfer
 * @param replacementWait how long a run waits for an engine to take a lost range
 * @param maxRecoveries the number of recoveries after which the run fails
 */
public record PipelineLimits(int maxTokens, long deadlineNanos, long stepTimeoutNanos, long timeoutPerPositionNanos,
		long transferTimeoutNanos, long replacementWaitNanos, int maxRecoveries) {

	long stepTimeoutNanos(int positions) {
		return this.stepTimeoutNanos + this.timeoutPerPositionNanos * (positions - 1);
	}

}
