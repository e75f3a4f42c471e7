package org.comfreyslip.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;
import org.comfreyslip.entry.model.StatusLinePattern;

/**
 * Checks the lines of one response head (RFC 9112, sections 4 and 5), of which the
 * decoder accepts more: it reads status lines loosely, and skips what stands between the
 * name of a field and its colon, which may be the status line of another response. The
 * values of fields are not checked.
 */
final class HeadFraming implements ResponseFraming {

	private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";

	private State state = State.START;

	private final StringBuilder statusLine = new StringBuilder();

	@Override
	public boolean accepts(ByteBuf bytes, int start, int end) {
		for (int index = start; index < end && this.state != State.INVALID; index++) {
			this.state = next(bytes.getByte(index));
		}
		return this.state != State.INVALID;
	}

	private State next(byte value) {
		boolean lineFeed = value == HttpConstants.LF;
		return switch (this.state) {
			case START -> (value == HttpConstants.CR || lineFeed) ? State.START : onStatusLine(value);
			case STATUS_LINE -> (lineFeed) ? afterStatusLine() : onStatusLine(value);
			case LINE_START -> onLineStart(value);
			case NAME -> (value == HttpConstants.COLON) ? State.REST : (isToken(value)) ? State.NAME : State.INVALID;
			case REST -> (lineFeed) ? State.LINE_START : State.REST;
			default -> this.state;
		};
	}

	private State onStatusLine(byte value) {
		this.statusLine.append((char) (value & 0xff));
		return State.STATUS_LINE;
	}

	private State afterStatusLine() {
		int last = this.statusLine.length() - 1;
		if (this.statusLine.charAt(last) == '\r') {
			this.statusLine.setLength(last);
		}
		return (StatusLinePattern.matches(this.statusLine)) ? State.LINE_START : State.INVALID;
	}

	// A line that begins with a space continues the value before it.
	private static State onLineStart(byte value) {
		if (isToken(value)) {
			return State.NAME;
		}
		boolean valid = value == HttpConstants.SP || value == HttpConstants.HT || value == HttpConstants.CR
				|| value == HttpConstants.LF;
		return (valid) ? State.REST : State.INVALID;
	}

	private static boolean isToken(byte value) {
		return value > ' ' && value < 0x7f && SEPARATORS.indexOf(value) < 0;
	}

	/** What the next byte belongs to. */
	private enum State {

		/** The status line, or an empty line before it. */
		START,

		/** The status line. */
		STATUS_LINE,

		/** The start of a field, or the empty line behind the last one. */
		LINE_START,

		/** The name of a field. */
		NAME,

		/** What follows up to the end of the line. */
		REST,

		/** A byte was not valid. */
		INVALID

	}

}
