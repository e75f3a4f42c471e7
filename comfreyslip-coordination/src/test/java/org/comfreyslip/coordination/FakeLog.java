package org.comfreyslip.coordination;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Log stream in memory with outages, lost answers, appends that arrive late, and
 * trimming.
 *
 * @param <R> the record type
 */
public final class FakeLog<R> {

	private final Random random;

	private final Consumer<R> onRecord;

	private final List<R> records = new ArrayList<>();

	private final List<R> late = new ArrayList<>();

	private final Map<Fault, Integer> faults;

	private int head;

	private boolean down;

	/**
	 * Creates an empty log.
	 * @param random decides on the faults
	 * @param faults counts the faults
	 * @param onRecord told of each record when it enters the log
	 */
	public FakeLog(Random random, Map<Fault, Integer> faults, Consumer<R> onRecord) {
		this.random = random;
		this.faults = faults;
		this.onRecord = onRecord;
	}

	/**
	 * Returns an empty count of faults.
	 * @return the count
	 */
	public static Map<Fault, Integer> noFaults() {
		return new EnumMap<>(Fault.class);
	}

	/**
	 * Appends a record.
	 * @param item the record
	 * @return what the writer sees
	 */
	public Answer append(R item) {
		if (this.down) {
			count(Fault.REFUSED);
			return Answer.REFUSED;
		}
		int dice = this.random.nextInt(10);
		if (dice == 0) {
			count(Fault.LATE_APPEND);
			this.late.add(item);
			return Answer.LOST;
		}
		if (dice == 1) {
			count(Fault.LOST_APPEND);
			return Answer.LOST;
		}
		store(item);
		if (dice <= 3) {
			count(Fault.LOST_ANSWER);
			return Answer.LOST;
		}
		return Answer.STORED;
	}

	/**
	 * Lets one late append arrive, also during an outage for readers.
	 */
	public void deliverLate() {
		if (!this.late.isEmpty()) {
			store(this.late.remove(this.random.nextInt(this.late.size())));
		}
	}

	/**
	 * Starts or ends an outage.
	 */
	public void toggleOutage() {
		this.down = !this.down;
		if (this.down) {
			count(Fault.OUTAGE);
		}
	}

	/**
	 * Drops the oldest records.
	 * @param newHead the new oldest offset, at most the tail
	 */
	public void trim(int newHead) {
		if (newHead > this.head) {
			count(Fault.TRIM);
			this.head = newHead;
		}
	}

	public void count(Fault fault) {
		this.faults.merge(fault, 1, Integer::sum);
	}

	public boolean isDown() {
		return this.down;
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

	private void store(R item) {
		this.records.add(item);
		this.onRecord.accept(item);
	}

	/** What the writer of a record sees. */
	public enum Answer {

		/** The record is in the log. */
		STORED,

		/** No answer. */
		LOST,

		/** The record is not in the log. */
		REFUSED

	}

	/** Faults that are counted. */
	public enum Fault {

		/** Append refused by a log that is down. */
		REFUSED,

		/** Stored, but the answer was lost. */
		LOST_ANSWER,

		/** Not stored, and no answer. */
		LOST_APPEND,

		/** Stored later, and no answer. */
		LATE_APPEND,

		/** The log went down. */
		OUTAGE,

		/** Old records were dropped. */
		TRIM,

		/** A reader found that records were dropped before it read them. */
		READING_GAP,

		/** A process lost its state. */
		RESTART,

		/** A process got no answers to its reads for a while. */
		SLOW_READ,

		/** A process stood still. */
		PAUSE,

		/** A checkpoint was appended long after it was taken. */
		LATE_CHECKPOINT,

		/** A daemon started from its peers. */
		START_FROM_PEERS,

		/** An order arrived long after it was sent. */
		LATE_ORDER

	}

}
