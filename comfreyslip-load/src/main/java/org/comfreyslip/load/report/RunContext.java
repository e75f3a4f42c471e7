package org.comfreyslip.load.report;

import java.util.List;
import java.util.Map;

/**
 * What a summary needs besides the observations.
 *
 * @param variation the values that the command line varied
 * @param commit the commit given on the command line
 * @param loadAverageStart the machine's load average before the run
 * @param loadAverageEnd the machine's load average after the run
 * @param boundTokensPerSecond the bound of the embedded topology, 0 without one
 * @param offeredTokens the tokens asked for in the measured time
 * @param auditViolations violations found in the records of the service
 * @param daemons what the embedded daemons used
 */
public record RunContext(String variation, String commit, double loadAverageStart, double loadAverageEnd,
		double boundTokensPerSecond, long offeredTokens, List<String> auditViolations,
		Map<String, ProcessSummary> daemons) {
}
