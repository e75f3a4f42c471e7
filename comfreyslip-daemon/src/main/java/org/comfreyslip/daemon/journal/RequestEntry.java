package org.comfreyslip.daemon.journal;

import java.util.ArrayList;
import java.util.List;

/**
 * Journal entry of one request: its target, notes on decisions and events, and its
 * outcome. Thread-safe.
 */
public final class RequestEntry {

	/** Limit of notes. An entry at the limit replaces its last note. */
	private static final int MAX_NOTES = 64;

	private final String id;

	private final String account;

	private final String target;

	private final long configVersion;

	private final long receivedEpochMillis;

	private final List<String> notes = new ArrayList<>();

	private String outcome = "open";

	private long endedEpochMillis;

	RequestEntry(String id, String account, String target, long configVersion, long receivedEpochMillis) {
		this.id = id;
		this.account = account;
		this.target = target;
		this.configVersion = configVersion;
		this.receivedEpochMillis = receivedEpochMillis;
	}

	/**
	 * Adds a note on a decision or an event. If the entry is full, the note replaces the
	 * last one.
	 * @param text the note, shown to operators
	 */
	public synchronized void addNote(String text) {
		if (this.notes.size() == MAX_NOTES) {
			this.notes.remove(MAX_NOTES - 1);
		}
		this.notes.add(text);
	}

	/**
	 * Records the outcome and the end of the request. Further calls have no effect.
	 * @param text the outcome, shown to operators
	 * @param nowEpochMillis the present time, in milliseconds since the epoch
	 */
	public synchronized void recordOutcome(String text, long nowEpochMillis) {
		if (this.endedEpochMillis == 0) {
			this.outcome = text;
			this.endedEpochMillis = nowEpochMillis;
		}
	}

	/**
	 * Returns the present content of the entry.
	 * @return a copy that does not change
	 */
	public synchronized RequestRecord snapshot() {
		return new RequestRecord(this.id, this.account, this.target, this.configVersion, this.receivedEpochMillis,
				this.endedEpochMillis, this.outcome, List.copyOf(this.notes));
	}

	/**
	 * Returns the request's id.
	 * @return the id that the caller got in {@code X-Request-Id}
	 */
	public String id() {
		return this.id;
	}

}
