package org.comfreyslip.entry.stream;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream at event boundaries (a blank line), so that a caller
 * never gets a part of an event whose rest does not come. Events up to the last one that
 * was delivered are dropped, which a resumed stream may repeat.
 */
public final class EventFramer {

	/** Largest event, in bytes; far above the events of a model engine. */
	private static final int MAX_EVENT_BYTES = 1 << 20;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private byte[] pending = new byte[256];

	private int length;

	private Optional<Long> lastId = Optional.empty();

	/**
	 * Adds bytes of the stream.
	 * @param bytes the bytes
	 * @return all complete events that are new to the caller, unchanged; may be empty
	 */
	public byte[] add(byte[] bytes) {
		append(bytes);
		byte[] whole = new byte[this.length];
		int wholeLength = 0;
		int start = 0;
		int end = boundary(start);
		while (end > 0) {
			if (isNew(start, end)) {
				System.arraycopy(this.pending, start, whole, wholeLength, end - start);
				wholeLength += end - start;
			}
			start = end;
			end = boundary(start);
		}
		this.length -= start;
		System.arraycopy(this.pending, start, this.pending, 0, this.length);
		return Arrays.copyOf(whole, wholeLength);
	}

	private void append(byte[] bytes) {
		if (this.length + bytes.length > MAX_EVENT_BYTES) {
			throw new IllegalStateException("an event of more than " + MAX_EVENT_BYTES + " bytes; check the endpoint");
		}
		if (this.length + bytes.length > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending, Math.max(2 * this.pending.length, this.length + bytes.length));
		}
		System.arraycopy(bytes, 0, this.pending, this.length, bytes.length);
		this.length += bytes.length;
	}

	// Returns the end of the event that begins at an index, or -1 if it is incomplete.
	private int boundary(int start) {
		for (int index = start; index + 1 < this.length; index++) {
			if (this.pending[index] != '\n') {
				continue;
			}
			if (this.pending[index + 1] == '\n') {
				return index + 2;
			}
			if (index + 2 < this.length && this.pending[index + 1] == '\r' && this.pending[index + 2] == '\n') {
				return index + 3;
			}
		}
		return -1;
	}

	private boolean isNew(int start, int end) {
		Optional<Long> id = eventId(start, end);
		if (id.isEmpty()) {
			return true;
		}
		if (this.lastId.isPresent() && id.get() <= this.lastId.get()) {
			return false;
		}
		this.lastId = id;
		return true;
	}

	private Optional<Long> eventId(int start, int end) {
		int line = start;
		while (line < end) {
			if (line + ID_FIELD.length < end
					&& Arrays.equals(this.pending, line, line + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
				return number(line + ID_FIELD.length, end);
			}
			while (line < end && this.pending[line] != '\n') {
				line++;
			}
			line++;
		}
		return Optional.empty();
	}

	private Optional<Long> number(int start, int end) {
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
	 * Returns the id of the last event that was handed on.
	 * @return the id, empty before the first event that has one
	 */
	public Optional<Long> lastId() {
		return this.lastId;
	}

	/**
	 * Tells whether the stream stopped inside an event.
	 * @return whether bytes of an incomplete event wait
	 */
	public boolean isInsideEvent() {
		return this.length > 0;
	}

	/** Drops the bytes of an incomplete event, before the stream goes on elsewhere. */
	public void dropPartial() {
		this.length = 0;
	}

}
