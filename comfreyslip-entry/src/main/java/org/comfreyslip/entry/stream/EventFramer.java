package org.comfreyslip.entry.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of an event stream at event boundaries (blank lines), so that a caller
 * never receives a partial event whose rest does not follow. A resumed stream may repeat
 * events; those up to the last one that was passed on are dropped. An event whose id
 * leaves the sequence is held back until the next one confirms it.
 */
public final class EventFramer {

	/**
	 * Largest event, in bytes; model engines send far smaller ones. Hundreds of streams
	 * with such events at once fit the heap of the smallest process.
	 */
	private static final int MAX_EVENT_BYTES = 64 << 10;

	/**
	 * Most bytes of comments between two events; a comment each second for an hour has
	 * less.
	 */
	private static final int MAX_COMMENT_BYTES = 64 << 10;

	/** Most digits of an id, so that it fits a long. */
	private static final int MAX_ID_DIGITS = 18;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private byte[] pending = new byte[256];

	private int pendingLength;

	private final EventSequence sequence;

	/** The event that is held back, and what followed it without an id. */
	private final ByteArrayOutputStream heldBack = new ByteArrayOutputStream();

	/** Whether the current run sent an event that no sound one sends there. */
	private boolean malformed;

	/** Complete events, without comments. */
	private long eventCount;

	/** Bytes of comments since the last event. */
	private long commentBytes;

	/**
	 * Creates a framer of a stream that has not begun.
	 * @param startAfter id of the last event that the caller has from an earlier stream
	 * that this one continues; empty if it continues none
	 */
	public EventFramer(Optional<Long> startAfter) {
		this.sequence = new EventSequence(startAfter.orElse(0L));
	}

	/**
	 * Adds bytes of the stream and returns the events that they complete.
	 * @param bytes the next bytes; may end inside an event
	 * @return the bytes of all complete events that were not passed on before, unchanged,
	 * and of the comments between them, up to the first event that is malformed or held
	 * back; may be empty
	 */
	public byte[] extractNewEvents(byte[] bytes) {
		append(bytes);
		ByteArrayOutputStream newEvents = new ByteArrayOutputStream(this.pendingLength + this.heldBack.size());
		int start = 0;
		int end = findEventEnd(start);
		while (end > 0 && !this.malformed) {
			if (isComment(start, end)) {
				this.commentBytes += end - start;
			}
			else {
				this.commentBytes = 0;
				this.eventCount++;
			}
			if (ForeignHead.isIn(this.pending, start, end)) {
				this.malformed = true;
			}
			else {
				passOn(start, end, newEvents);
			}
			start = end;
			end = findEventEnd(start);
		}
		this.pendingLength -= start;
		System.arraycopy(this.pending, start, this.pending, 0, this.pendingLength);
		return newEvents.toByteArray();
	}

	// Adds an event to those that are passed on, holds it back or drops it.
	private void passOn(int start, int end, ByteArrayOutputStream newEvents) {
		int value = findIdValue(start, end);
		if (value < 0) {
			ByteArrayOutputStream target = (this.heldBack.size() > 0) ? this.heldBack : newEvents;
			target.write(this.pending, start, end - start);
			return;
		}
		EventSequence.Position position = this.sequence.add(parseId(value));
		if (position == EventSequence.Position.OUT_OF_ORDER) {
			this.malformed = true;
			return;
		}
		newEvents.writeBytes(takeHeldBack());
		switch (position) {
			case NEXT -> newEvents.write(this.pending, start, end - start);
			case UNCONFIRMED -> this.heldBack.write(this.pending, start, end - start);
			default -> {
				// Repeated events are dropped.
			}
		}
	}

	private byte[] takeHeldBack() {
		byte[] taken = this.heldBack.toByteArray();
		this.heldBack.reset();
		return taken;
	}

	/**
	 * Returns what is held back, since the stream ended in order after it.
	 * @return the bytes of the event that is held back and of what followed it; may be
	 * empty
	 */
	public byte[] finish() {
		this.sequence.confirm();
		return takeHeldBack();
	}

	private void append(byte[] bytes) {
		if (this.pendingLength + bytes.length > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending,
					Math.max(2 * this.pending.length, this.pendingLength + bytes.length));
		}
		System.arraycopy(bytes, 0, this.pending, this.pendingLength, bytes.length);
		this.pendingLength += bytes.length;
	}

	// Returns the index after the event that begins at an index, or -1 if the event is
	// incomplete.
	private int findEventEnd(int start) {
		for (int index = start; index + 1 < this.pendingLength; index++) {
			if (this.pending[index] != '\n') {
				continue;
			}
			if (this.pending[index + 1] == '\n') {
				return index + 2;
			}
			if (index + 2 < this.pendingLength && this.pending[index + 1] == '\r' && this.pending[index + 2] == '\n') {
				return index + 3;
			}
		}
		return -1;
	}

	// A block of comments has no field, so that each of its lines begins with a colon.
	private boolean isComment(int start, int end) {
		boolean lineStart = true;
		for (int index = start; index < end; index++) {
			byte next = this.pending[index];
			if (lineStart && next != ':' && next != '\n' && next != '\r') {
				return false;
			}
			lineStart = next == '\n';
		}
		return true;
	}

	// Returns the index of the value of an event's id, or -1 if the event has none.
	private int findIdValue(int start, int end) {
		int index = start;
		while (index < end) {
			if (index + ID_FIELD.length < end
					&& Arrays.equals(this.pending, index, index + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
				return index + ID_FIELD.length;
			}
			while (index < end && this.pending[index] != '\n') {
				index++;
			}
			index++;
		}
		return -1;
	}

	// Parses the value of an id up to the end of its line; negative if it is no number.
	private long parseId(int start) {
		int index = (this.pending[start] == ' ') ? start + 1 : start;
		int first = index;
		long value = 0;
		while (this.pending[index] >= '0' && this.pending[index] <= '9' && index - first < MAX_ID_DIGITS) {
			value = value * 10 + this.pending[index] - '0';
			index++;
		}
		boolean lineEnds = this.pending[index] == '\n'
				|| (this.pending[index] == '\r' && this.pending[index + 1] == '\n');
		return (index > first && lineEnds) ? value : -1;
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id; empty before the first event that has one
	 */
	public Optional<Long> lastEventId() {
		return this.sequence.lastPassed();
	}

	/**
	 * Returns how many events the stream has had. Comments do not count, since an engine
	 * that makes no progress may still send them.
	 * @return the number of complete events, repeated ones included
	 */
	public long eventCount() {
		return this.eventCount;
	}

	/**
	 * Tells whether the current run sent an id that is no number or not larger than the
	 * one before it, or the head of a response within an event. That event and further
	 * ones are not passed on.
	 * @return whether it did
	 */
	public boolean isMalformed() {
		return this.malformed;
	}

	/**
	 * Tells whether the bytes so far are more than any sound endpoint sends without
	 * completing an event.
	 * @return whether an incomplete event, with what is held back, or the comments since
	 * the last event exceed their limit
	 */
	public boolean exceedsLimit() {
		return this.pendingLength + this.heldBack.size() > MAX_EVENT_BYTES || this.commentBytes > MAX_COMMENT_BYTES;
	}

	/**
	 * Tells whether the bytes so far end inside an event.
	 * @return whether bytes of an incomplete event are held
	 */
	public boolean hasPartialEvent() {
		return this.pendingLength > 0;
	}

	/**
	 * Begins a run of the stream at an endpoint, and drops what the run before it sent
	 * and what was not passed on.
	 */
	public void beginRun() {
		this.pendingLength = 0;
		this.commentBytes = 0;
		this.malformed = false;
		this.heldBack.reset();
		this.sequence.beginRun();
	}

}
