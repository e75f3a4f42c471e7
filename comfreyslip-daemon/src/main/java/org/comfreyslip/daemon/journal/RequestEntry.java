package org.comfreyslip.daemon.journal;

import java.util.ArrayList;
import java.util.List;

/**
 * What happened to one request. Thread-safe.
 */
public final class RequestEntry {

	/** A request with more notes than this keeps the first ones and the last one. */
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
	 * Adds a note on a decision or an event.
	 * @param text the note
	 */
	public synchronized void note(String text) {
		if (this.notes.size() == MAX_NOTES) {
			this.notes.remove(MAX_NOTES - 1);
		}
		this.notes.add(text);
	}

	/**
	 * Records the final outcome. Only the first one counts.
	 * @param text the outcome
	 * @param nowEpochMillis the present time
	 */
	public synchronized void end(String text, long nowEpochMillis) {
		if (this.endedEpochMillis == 0) {
			this.outcome = text;
			this.endedEpochMillis = nowEpochMillis;
		}
	}

	/**
	 * Returns a copy for operators.
	 * @return the record so far
	 */
	public synchronized RequestRecord snapshot() {
		return new RequestRecord(this.id, this.account, this.target, this.configVersion, this.receivedEpochMillis,
				this.endedEpochMillis, this.outcome, List.copyOf(this.notes));
	}

	/**
	 * Returns the request's id.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

}
