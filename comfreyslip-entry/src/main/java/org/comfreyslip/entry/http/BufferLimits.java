package org.comfreyslip.entry.http;

/**
 * Limits the memory of buffered request bodies and responses. Each reservation must be
 * released.
 */
final class BufferLimits {

	/**
	 * Largest total size of the buffered request bodies, in bytes; a sixth of the memory
	 * of the smallest process.
	 */
	private static final long MAX_REQUEST_BYTES = 48L << 20;

	/**
	 * Largest total size of the responses that are buffered until they are complete, in
	 * bytes, without {@link #MIN_RESPONSE_BYTES} of each.
	 */
	private static final long MAX_RESPONSES_BYTES = 24L << 20;

	/** Largest response that is buffered until it is complete, in bytes. */
	private static final long MAX_RESPONSE_BYTES = 8L << 20;

	/**
	 * Size that each response may have however much the others take, in bytes.
	 */
	private static final long MIN_RESPONSE_BYTES = 64L << 10;

	/** Largest part of the free buffer space that one response may take. */
	private static final double RESPONSE_PART_OF_FREE = 0.25;

	/** Total size of the request bodies that are buffered now. */
	private long requestBytes;

	/** Total size of the responses that are buffered now. */
	private long responseBytes;

	/**
	 * Reserves memory for a part of a request body.
	 * @param bytes size of the part, in bytes
	 * @return whether it is reserved; false if the limit is reached
	 */
	boolean tryReserveRequest(int bytes) {
		if (this.requestBytes + bytes > MAX_REQUEST_BYTES) {
			return false;
		}
		this.requestBytes += bytes;
		return true;
	}

	/**
	 * Releases the memory of a request body.
	 * @param bytes size of the body, in bytes
	 */
	void releaseRequest(int bytes) {
		this.requestBytes -= bytes;
	}

	/**
	 * Reserves memory for the next bytes of a response. The limit falls as the buffer
	 * fills, so that responses without end leave room for the others.
	 * @param size size of the response so far, in bytes
	 * @param nextBytes size of the next part, in bytes
	 * @return whether it is reserved; false if the response may not grow any more
	 */
	boolean tryReserveResponse(int size, int nextBytes) {
		long free = MAX_RESPONSES_BYTES - this.responseBytes;
		long limit = Math.max(MIN_RESPONSE_BYTES, Math.min(MAX_RESPONSE_BYTES, (long) (RESPONSE_PART_OF_FREE * free)));
		if (size + (long) nextBytes > limit) {
			return false;
		}
		this.responseBytes += nextBytes;
		return true;
	}

	/**
	 * Releases the memory of a response.
	 * @param bytes size of the response, in bytes
	 */
	void releaseResponse(int bytes) {
		this.responseBytes -= bytes;
	}

}
