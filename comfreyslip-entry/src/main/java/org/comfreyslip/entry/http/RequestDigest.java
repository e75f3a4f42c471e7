package org.comfreyslip.entry.http;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;

/**
 * Recognises a request that a caller sends again with another attempt.
 */
final class RequestDigest {

	private RequestDigest() {
	}

	/**
	 * Returns a digest that is equal for equal requests, at all daemons.
	 * @param request the request
	 * @param caller what identifies the caller, for example its client account
	 * @return the digest of method, path, caller and body, in hexadecimal
	 */
	static String of(CallerConnection.IncomingRequest request, String caller) {
		HashStream128 stream = Hashing.murmur3_128()
			.hashStream()
			.putString(request.host())
			.putString(request.head().method().name())
			.putString(request.head().uri())
			.putString(caller);
		ByteBuf body = request.body();
		byte[] bytes = new byte[body.readableBytes()];
		body.getBytes(body.readerIndex(), bytes);
		HashValue128 digest = stream.putByteArray(bytes).get();
		return String.format("%016x%016x", digest.getMostSignificantBits(), digest.getLeastSignificantBits());
	}

}
