package org.comfreyslip.daemon.journal;

import java.util.List;

/**
 * Copy of a journal entry, shown to operators as JSON.
 *
 * @param id the request's id
 * @param account the client account
 * @param target the model, or the service with method and path
 * @param configVersion the configuration version in force when the request arrived
 * @param receivedEpochMillis when it arrived, in milliseconds since the epoch
 * @param endedEpochMillis when it ended, in milliseconds since the epoch, or 0 while it
 * is open
 * @param outcome how it ended, or {@code open}
 * @param notes the decisions and events in the order of time
 */
public record RequestRecord(String id, String account, String target, long configVersion, long receivedEpochMillis,
		long endedEpochMillis, String outcome, List<String> notes) {
}
