package org.comfreyslip.load.scenario;

/**
 * One request of a run.
 *
 * @param index its number
 * @param atNanos when it is to be sent, in nanoseconds after the start
 * @param kind what it asks for
 * @param account the number of the client account
 * @param daemon the number of the daemon that gets the first attempt
 * @param prompt the prompt of a completion, the certificate of a stamp, otherwise empty
 * @param maxTokens the token limit of a completion
 */
public record Arrival(int index, long atNanos, RequestKind kind, int account, int daemon, String prompt,
		int maxTokens) {
}
