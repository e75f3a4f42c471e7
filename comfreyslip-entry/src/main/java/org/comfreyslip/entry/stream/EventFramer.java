package org.comfreyslip.entry.stream;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of an event stream at event boundaries (blank lines), so that a caller
 * never receives a partial event whose rest does not follow. A resumed stream may repeat
 * events; those up to the last one that was passed on are dropped.
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

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private byte[] pending = new byte[256];

	private int pendingLength;

	private Optional<Long> lastEventId = Optional.empty();

	/** Events that were passed on, without comments. */
	private long eventCount;

	/** Bytes of comments since the last event. */
	private long commentBytes;

	/**
	 * Adds bytes of the stream and returns the events that they complete.
	 * @param bytes the next bytes; may end inside an event
	 * @return the bytes of all complete events that were not passed on before, unchanged,
	 * and of the comments between them; may be empty
	 */
	public byte[] extractNewEvents(byte[] bytes) {
		append(bytes);
		byte[] newEvents = new byte[this.pendingLength];
		int newLength = 0;
		int start = 0;
		int end = findEventEnd(start);
		while (end > 0) {
			if (isComment(start, end)) {
				this.commentBytes += end - start;
			}
			else {
				this.commentBytes = 0;
				this.eventCount++;
			}
			if (isNew(start, end)) {
				System.arraycopy(this.pending, start, newEvents, newLength, end - start);
				newLength += end - start;
			}
			start = end;
			end = findEventEnd(start);
		}
		this.pendingLength -= start;
		System.arraycopy(this.pending, start, this.pending, 0, this.pendingLength);
		return Arrays.copyOf(newEvents, newLength);
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

	// An event without an id is always new.
	private boolean isNew(int start, int end) {
		Optional<Long> id = findEventId(start, end);
		if (id.isEmpty()) {
			return true;
		}
		if (this.lastEventId.isPresent() && id.get() <= this.lastEventId.get()) {
			return false;
		}
		this.lastEventId = id;
		return true;
	}

	private Optional<Long> findEventId(int start, int end) {
		int index = start;
		while (index < end) {
			if (index + ID_FIELD.length < end
					&& Arrays.equals(this.pending, index, index + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
				return parseNumber(index + ID_FIELD.length, end);
			}
			while (index < end && this.pending[index] != '\n') {
				index++;
			}
			index++;
		}
		return Optional.empty();
	}

	// Parses the decimal digits up to the end of the line and ignores other characters.
	private Optional<Long> parseNumber(int start, int end) {
		long value = 0;
		int digits = 0;
		for (int index = start; index < end && this.pending[index] != '\n'; index++) {
			byte next = this.pending[index];
			if (next >= '0' && next <= '9') {
				value = value * 10 + next - '0';
				digits++;
			}
		}
		return (digits > 0) ? Optional.of(value) : Optional.empty();
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id; empty before the first event that has one
	 */
	public Optional<Long> lastEventId() {
		return this.lastEventId;
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
	 * Tells whether the bytes so far are more than any sound endpoint sends without
	 * completing an event.
	 * @return whether an incomplete event, or the comments since the last event, exceed
	 * their limit
	 */
	public boolean exceedsLimit() {
		return this.pendingLength > MAX_EVENT_BYTES || this.commentBytes > MAX_COMMENT_BYTES;
	}

	/**
	 * Tells whether the bytes so far end inside an event.
	 * @return whether bytes of an incomplete event are held
	 */
	public boolean hasPartialEvent() {
		return this.pendingLength > 0;
	}

	/**
	 * Drops the bytes of an incomplete event. Called before the stream is resumed at
	 * another endpoint.
	 */
	public void dropPartialEvent() {
		this.pendingLength = 0;
		this.commentBytes = 0;
	}

}
