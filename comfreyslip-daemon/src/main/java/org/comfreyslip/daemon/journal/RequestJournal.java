package org.comfreyslip.daemon.journal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The entries of the daemon's most recent requests. Thread-safe.
 */
public final class RequestJournal {

	private final Map<String, RequestEntry> entries;

	/**
	 * Creates an empty journal.
	 * @param capacity the number of entries to keep; beyond it the oldest is dropped
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
	 * Adds the entry of a request that was admitted.
	 * @param id the request's id
	 * @param account the client account
	 * @param target the model, or the service with method and path
	 * @param configVersion the configuration version in force
	 * @param nowEpochMillis the present time, in milliseconds since the epoch
	 * @return the entry, to be completed as the request goes on
	 */
	public synchronized RequestEntry openEntry(String id, String account, String target, long configVersion,
			long nowEpochMillis) {
		RequestEntry entry = new RequestEntry(id, account, target, configVersion, nowEpochMillis);
		this.entries.put(id, entry);
		return entry;
	}

	/**
	 * Finds a request by its id.
	 * @param id the request's id
	 * @return its record, or empty if this daemon did not admit it or has dropped it
	 */
	public synchronized Optional<RequestRecord> find(String id) {
		return Optional.ofNullable(this.entries.get(id)).map(RequestEntry::snapshot);
	}

}
