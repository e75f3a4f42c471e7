package org.comfreyslip.entry.http;

import io.netty.buffer.ByteBuf;

/**
 * Checks the bytes of one part of a response, of which the decoder accepts more than
 * HTTP/1.1 allows.
 */
interface ResponseFraming {

	/** Accepts all bytes, as those of a body that is not in chunks. */
	ResponseFraming ANY = (bytes, start, end) -> true;

	/**
	 * Checks the next bytes of the part.
	 * @param bytes holds them; not modified
	 * @param start index of the first byte
	 * @param end index after the last byte
	 * @return whether they are valid
	 */
	boolean accepts(ByteBuf bytes, int start, int end);

}
