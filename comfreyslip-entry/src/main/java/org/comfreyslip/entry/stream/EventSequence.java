package org.comfreyslip.entry.stream;

import java.util.Optional;

/**
 * The ids of a stream's events. Within one run at an endpoint they increase; a run that
 * continues the stream may repeat some. An id that lies further ahead than any before may
 * be spoiled, and is confirmed by a larger one that follows in the same run.
 */
final class EventSequence {

	/** Stands for an id where there is none; ids are not negative. */
	private static final long NONE = -1;

	/** Id of the last event that was passed on. */
	private long lastPassed = NONE;

	/** Id of the last event of the current run, passed on or not. */
	private long lastOfRun = NONE;

	/** Id of the event that is held back. */
	private long unconfirmed = NONE;

	/** Id from which the next step is counted. */
	private long stepStart;

	/** Largest step from one id to the next that is known to occur in this stream. */
	private long largestStep = 1;

	/**
	 * Creates the sequence of a stream that has not begun.
	 * @param startAfter id after which the stream begins
	 */
	EventSequence(long startAfter) {
		this.stepStart = startAfter;
	}

	/**
	 * Begins a run, which may repeat events. An id that is not confirmed is forgotten.
	 */
	void beginRun() {
		this.lastOfRun = NONE;
		this.unconfirmed = NONE;
	}

	/**
	 * Adds the next event of the current run.
	 * @param id its id; negative if it is no number
	 * @return its position; unless it is out of order, the event that was held back is
	 * confirmed
	 */
	Position add(long id) {
		if (id <= this.lastOfRun) {
			return Position.OUT_OF_ORDER;
		}
		this.lastOfRun = id;
		confirm();
		if (id <= this.lastPassed) {
			return Position.REPEATED;
		}
		if (id - this.stepStart > this.largestStep) {
			this.unconfirmed = id;
			return Position.UNCONFIRMED;
		}
		pass(id);
		return Position.NEXT;
	}

	/** Confirms the event that is held back, if there is one. */
	void confirm() {
		if (this.unconfirmed != NONE) {
			this.largestStep = Math.max(this.largestStep, this.unconfirmed - this.stepStart);
			pass(this.unconfirmed);
			this.unconfirmed = NONE;
		}
	}

	private void pass(long id) {
		this.lastPassed = id;
		this.stepStart = id;
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id; empty before the first event that has one
	 */
	Optional<Long> lastPassed() {
		return (this.lastPassed == NONE) ? Optional.empty() : Optional.of(this.lastPassed);
	}

	/** Where an event stands in the sequence. */
	enum Position {

		/** It follows the last one and is passed on. */
		NEXT,

		/** It was passed on before, in an earlier run. */
		REPEATED,

		/** It lies further ahead than usual and is held back until it is confirmed. */
		UNCONFIRMED,

		/**
		 * Its id is no number or not larger than the one before it: it is spoiled, or the
		 * one held back is.
		 */
		OUT_OF_ORDER

	}

}
