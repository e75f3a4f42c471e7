package org.comfreyslip.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/**
 * Checks the framing of one body in chunks (RFC 9112, section 7.1), of which the decoder
 * accepts more: other bytes behind the carriage return of a size, and any up to the next
 * line feed behind a chunk. They may begin another response. Trailers are not checked.
 */
final class ChunkFraming implements ResponseFraming {

	private static final int RADIX = 16;

	/** Larger than any chunk that the decoder accepts. */
	private static final long MAX_SIZE = 1L << 32;

	private State state = State.SIZE;

	/** Size of the chunk, and of the part of it that is still to come. */
	private long remaining;

	@Override
	public boolean accepts(ByteBuf bytes, int start, int end) {
		int index = start;
		while (index < end && this.state != State.INVALID && this.state != State.TRAILER) {
			if (this.state == State.DATA) {
				long passed = Math.min(this.remaining, end - index);
				this.remaining -= passed;
				index += (int) passed;
				this.state = (this.remaining == 0) ? State.DATA_END : State.DATA;
			}
			else {
				this.state = next(bytes.getByte(index));
				index++;
			}
		}
		return this.state != State.INVALID;
	}

	private State next(byte value) {
		boolean lineFeed = value == HttpConstants.LF;
		return switch (this.state) {
			case SIZE -> onSize(value);
			case EXTENSION -> (lineFeed) ? afterSize() : (value == HttpConstants.CR) ? State.SIZE_END : State.EXTENSION;
			case SIZE_END -> (lineFeed) ? afterSize() : State.INVALID;
			case DATA_END ->
				(lineFeed) ? State.SIZE : (value == HttpConstants.CR) ? State.DATA_LINE_FEED : State.INVALID;
			case DATA_LINE_FEED -> (lineFeed) ? State.SIZE : State.INVALID;
			default -> this.state;
		};
	}

	private State onSize(byte value) {
		int digit = Character.digit(value, RADIX);
		if (digit >= 0) {
			this.remaining = Math.min(MAX_SIZE, this.remaining * RADIX + digit);
			return State.SIZE;
		}
		if (value == HttpConstants.LF) {
			return afterSize();
		}
		return (value == HttpConstants.CR) ? State.SIZE_END : State.EXTENSION;
	}

	private State afterSize() {
		return (this.remaining == 0) ? State.TRAILER : State.DATA;
	}

	/** What the next byte belongs to. */
	private enum State {

		/** The digits of a size, or what ends them. */
		SIZE,

		/** What follows the digits up to the end of the line. */
		EXTENSION,

		/** The line feed of a size. */
		SIZE_END,

		/** The data of a chunk. */
		DATA,

		/** The end of the line behind the data. */
		DATA_END,

		/** The line feed behind the data. */
		DATA_LINE_FEED,

		/** What follows the last chunk. */
		TRAILER,

		/** A byte was not valid. */
		INVALID

	}

}
