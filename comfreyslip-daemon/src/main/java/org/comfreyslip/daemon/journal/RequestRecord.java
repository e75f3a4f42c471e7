package org.comfreyslip.daemon.journal;

import java.util.List;

/**
 * Record of one request for operators.
 *
 * @param id the request's id
 * @param account the client account
 * @param target the model or the service with method and path
 * @param configVersion the configuration version in force when the request came
 * @param receivedEpochMillis when it came, in milliseconds since the epoch
 * @param endedEpochMillis when it ended, or 0 while it is open
 * @param outcome the outcome
 * @param notes the decisions and events in order
 */
public record RequestRecord(String id, String account, String target, long configVersion, long receivedEpochMillis,
		long endedEpochMillis, String outcome, List<String> notes) {
}
