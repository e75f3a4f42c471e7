package org.comfreyslip.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

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

	/** Releases the reservations and begins with an empty body. */
	void clear() {
		this.limits.releaseResponse(this.body.readableBytes());
		this.body = Unpooled.EMPTY_BUFFER;
	}

}
