package org.comfreyslip.entry.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.comfreyslip.entry.model.StatusLinePattern;

/**
 * Body of a response that is buffered until it is complete, within the limits that all
 * responses share.
 */
final class ResponseBuffer {

	private final BufferLimits limits;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	ResponseBuffer(BufferLimits limits) {
		this.limits = limits;
	}

	/**
	 * Appends a part of the body.
	 * @param content the part, which is read
	 * @return whether it was appended; false if the response may not grow any more
	 */
	boolean tryAppend(ByteBuf content) {
		if (!this.limits.tryReserveResponse(this.body.readableBytes(), content.readableBytes())) {
			return false;
		}
		if (this.body == Unpooled.EMPTY_BUFFER) {
			this.body = Unpooled.buffer(content.readableBytes());
		}
		this.body.writeBytes(content);
		return true;
	}

	/**
	 * Returns the body, which stays valid after {@link #clear()}.
	 * @return the parts appended since the last clearing
	 */
	ByteBuf body() {
		return this.body;
	}

	/**
	 * Tells whether the body holds the head of another response. It does if the response
	 * was cut in its body and sent once more.
	 * @param attemptId identity of the caller's attempt, which the other head carries;
	 * empty if it has none
	 * @param bytesFollow whether bytes that belong to no response arrived behind the
	 * body, so that its end may be that of the other head
	 * @return whether the body holds a status line with that identity or with such bytes
	 * behind it
	 */
	boolean holdsAnotherHead(String attemptId, boolean bytesFollow) {
		int start = this.body.arrayOffset() + this.body.readerIndex();
		if (!StatusLinePattern.mayBeIn(this.body.array(), start, start + this.body.readableBytes())) {
			return false;
		}
		String text = this.body.toString(StandardCharsets.ISO_8859_1);
		return StatusLinePattern.isIn(text) && (bytesFollow || (!attemptId.isEmpty() && text.contains(attemptId)));
	}

	/** Releases the reservations and begins with an empty body. */
	void clear() {
		this.limits.releaseResponse(this.body.readableBytes());
		this.body = Unpooled.EMPTY_BUFFER;
	}

}
