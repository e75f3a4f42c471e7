package org.comfreyslip.load.run;

import org.comfreyslip.load.scenario.Arrival;

/**
 * What was seen of one request. Times are in nanoseconds after the start of the run.
 *
 * @param arrival the request, with its intended time
 * @param tokenNanos when each token arrived, empty for answers in one piece
 * @param endNanos when the answer ended
 * @param attempts the number of attempts
 * @param key the idempotency key of a stamp, or {@code null}
 * @param answer the judgement
 */
public record Observation(Arrival arrival, long[] tokenNanos, long endNanos, int attempts, String key, Answer answer) {
}
