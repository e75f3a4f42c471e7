package org.comfreyslip.daemon.journal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounded record of the daemon's recent requests. Thread-safe.
 */
public final class RequestJournal {

	private final Map<String, RequestEntry> entries;

	/**
	 * Creates an empty journal.
	 * @param capacity the number of requests to keep; the oldest is dropped first
	 */
	public RequestJournal(int capacity) {
		this.entries = new LinkedHashMap<>() {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, RequestEntry> eldest) {
				return size() > capacity;
			}

		};
	}

	/**
	 * Opens the record of a request.
	 * @param id the request's id
	 * @param account the client account
	 * @param target the model or the service with method and path
	 * @param configVersion the configuration version in force
	 * @param nowEpochMillis the present time
	 * @return the entry
	 */
	public synchronized RequestEntry open(String id, String account, String target, long configVersion,
			long nowEpochMillis) {
		RequestEntry entry = new RequestEntry(id, account, target, configVersion, nowEpochMillis);
		this.entries.put(id, entry);
		return entry;
	}

	/**
	 * Finds a request.
	 * @param id the request's id
	 * @return its record, or empty if it is unknown here or was dropped
	 */
	public synchronized Optional<RequestRecord> find(String id) {
		return Optional.ofNullable(this.entries.get(id)).map(RequestEntry::snapshot);
	}

}
