package org.comfreyslip.load.report;

/**
 * Recovery after one fault. Times are in milliseconds after the fault, -1 if not reached.
 *
 * @param fault the fault's name
 * @param target the process or address
 * @param openStreams the streams that were open at the fault
 * @param lostStreams those of them that were not completed
 * @param firstSuccess when the last of the streams that were open and were completed
 * received its next token, which includes every stream of the affected path
 * @param rateRestored the start of the first window with 90% of the previous token rate
 */
public record Recovery(String fault, String target, int openStreams, int lostStreams, double firstSuccess,
		double rateRestored) {
}
