package org.comfreyslip.load.report;

import java.util.List;
import java.util.Map;

/**
 * The result of one run.
 *
 * @param scenario the scenario's name
 * @param variation the values that the command line varied
 * @param seed the seed
 * @param commit the commit given on the command line
 * @param settings the values of the scenario
 * @param loadAverageStart the machine's load average before the run
 * @param loadAverageEnd the machine's load average after the run
 * @param latenessMaxMillis how late the tool sent a request at most
 * @param requestsPerSecond completed requests per measured second
 * @param tokensPerSecond received tokens per measured second
 * @param offeredTokensPerSecond tokens of all answers that were asked for, 0 without a
 * reference
 * @param boundTokensPerSecond the bound of the embedded topology, 0 without one
 * @param ratioToBound received tokens as a ratio to the bound
 * @param openStreams the mean number of open completions
 * @param kinds the summaries per kind of request
 * @param violationCount the number of violations
 * @param violations the first violations
 * @param recoveries the recovery after each fault
 * @param firstSuccess the times to the next token over all faults
 * @param rateRestored the times to 90% of the previous rate over all faults
 * @param daemons what the embedded daemons used
 */
public record RunSummary(String scenario, String variation, long seed, String commit, String settings,
		double loadAverageStart, double loadAverageEnd, double latenessMaxMillis, double requestsPerSecond,
		double tokensPerSecond, double offeredTokensPerSecond, double boundTokensPerSecond, double ratioToBound,
		double openStreams, Map<String, KindSummary> kinds, int violationCount, List<String> violations,
		List<Recovery> recoveries, LatencySummary firstSuccess, LatencySummary rateRestored,
		Map<String, ProcessSummary> daemons) {
}
