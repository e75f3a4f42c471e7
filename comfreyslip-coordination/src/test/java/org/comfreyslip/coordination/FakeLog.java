package org.comfreyslip.coordination;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * In-memory log stream with outages, lost responses, late appends and trimming.
 *
 * @param <R> the record type
 */
public final class FakeLog<R> {

	private final Random random;

	private final Consumer<R> onRecord;

	private final List<R> records = new ArrayList<>();

	private final List<R> lateAppends = new ArrayList<>();

	private final Map<Fault, Integer> faultCounts;

	private int head;

	private boolean unavailable;

	/**
	 * Creates an empty log.
	 * @param random decides which faults occur
	 * @param faultCounts receives the number of faults of each kind
	 * @param onRecord called with each record when it is stored
	 */
	public FakeLog(Random random, Map<Fault, Integer> faultCounts, Consumer<R> onRecord) {
		this.random = random;
		this.faultCounts = faultCounts;
		this.onRecord = onRecord;
	}

	/**
	 * Creates an empty map for the numbers of faults.
	 * @return a mutable map
	 */
	public static Map<Fault, Integer> newFaultCounts() {
		return new EnumMap<>(Fault.class);
	}

	/**
	 * Appends a record.
	 * @param record the record
	 * @return the result that the writer gets
	 */
	public AppendResult append(R record) {
		if (this.unavailable) {
			count(Fault.REFUSED);
			return AppendResult.REFUSED;
		}
		int draw = this.random.nextInt(10);
		if (draw == 0) {
			count(Fault.LATE_APPEND);
			this.lateAppends.add(record);
			return AppendResult.NO_RESPONSE;
		}
		if (draw == 1) {
			count(Fault.LOST_APPEND);
			return AppendResult.NO_RESPONSE;
		}
		store(record);
		if (draw <= 3) {
			count(Fault.LOST_RESPONSE);
			return AppendResult.NO_RESPONSE;
		}
		return AppendResult.STORED;
	}

	/**
	 * Stores the record of one late append, if there is any, even during an outage.
	 */
	public void storeOneLateAppend() {
		if (!this.lateAppends.isEmpty()) {
			store(this.lateAppends.remove(this.random.nextInt(this.lateAppends.size())));
		}
	}

	/**
	 * Starts or ends an outage.
	 */
	public void toggleOutage() {
		this.unavailable = !this.unavailable;
		if (this.unavailable) {
			count(Fault.OUTAGE);
		}
	}

	/**
	 * Trims the oldest records.
	 * @param newHead the new oldest offset, at most the tail
	 */
	public void trim(int newHead) {
		if (newHead > this.head) {
			count(Fault.TRIM);
			this.head = newHead;
		}
	}

	public void count(Fault fault) {
		this.faultCounts.merge(fault, 1, Integer::sum);
	}

	public boolean isUnavailable() {
		return this.unavailable;
	}

	public int head() {
		return this.head;
	}

	public int tail() {
		return this.records.size();
	}

	public R get(long offset) {
		return this.records.get((int) offset);
	}

	private void store(R record) {
		this.records.add(record);
		this.onRecord.accept(record);
	}

	/** The result that the writer of a record gets. */
	public enum AppendResult {

		/** The record is in the log. */
		STORED,

		/** No response was received; the record may or may not be in the log. */
		NO_RESPONSE,

		/** The record is not in the log. */
		REFUSED

	}

	/** Faults whose occurrences are counted. */
	public enum Fault {

		/** An append was refused because the log was unavailable. */
		REFUSED,

		/** An append was stored, but its response was lost. */
		LOST_RESPONSE,

		/** An append was not stored and got no response. */
		LOST_APPEND,

		/** An append was stored late and got no response. */
		LATE_APPEND,

		/** The log became unavailable. */
		OUTAGE,

		/** Old records were trimmed. */
		TRIM,

		/** Records were trimmed before a reader had read them. */
		READING_GAP,

		/** A process restarted and lost its state. */
		RESTART,

		/** A process got no responses to its reads for some time. */
		SLOW_READ,

		/** A process was paused. */
		PAUSE,

		/** A checkpoint was appended long after it was taken. */
		LATE_CHECKPOINT,

		/** A daemon obtained its initial state from its peers. */
		START_FROM_PEERS,

		/** An order arrived long after it was sent. */
		LATE_ORDER

	}

}
