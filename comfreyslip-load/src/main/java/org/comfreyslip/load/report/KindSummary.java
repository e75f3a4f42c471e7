package org.comfreyslip.load.report;

import java.util.Map;

/**
 * What was seen of one kind of request.
 *
 * @param requests the number of measured requests
 * @param answers the number per answer class
 * @param codes the number per error code
 * @param tokens the tokens received
 * @param firstToken the time from the intended send time to the first token
 * @param betweenTokens the times from one token to the next
 * @param whole the time from the intended send time to the end of complete answers
 */
public record KindSummary(long requests, Map<String, Long> answers, Map<String, Long> codes, long tokens,
		LatencySummary firstToken, LatencySummary betweenTokens, LatencySummary whole) {
}
