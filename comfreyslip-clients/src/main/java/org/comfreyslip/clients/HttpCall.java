package org.comfreyslip.clients;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * An HTTP request to one address, with its time limits.
 *
 * @param address ip:port of the other side
 * @param method HTTP method in capitals
 * @param path path with query, starting with {@code /}
 * @param headers headers in order
 * @param body request body, or {@code null} for none
 * @param readMillis limit for the first byte and between two bytes in milliseconds, or 0
 * for the default
 * @param totalMillis limit for the whole call including the body in milliseconds, or 0
 * for none
 * @param boundary asked once, after the connection is open and before the first byte of
 * the request; {@code false} ends the call without sending a byte
 */
public record HttpCall(String address, String method, String path, List<HttpHeader> headers, byte[] body,
		int readMillis, int totalMillis, BooleanSupplier boundary) {

	private static final BooleanSupplier ALWAYS_OPEN = () -> true;

	/**
	 * Creates a call without a body.
	 * @param address ip:port of the other side
	 * @param path path with query
	 * @return the call, with the default time limits
	 */
	public static HttpCall get(String address, String path) {
		return new HttpCall(address, "GET", path, List.of(), null, 0, 0, ALWAYS_OPEN);
	}

	/**
	 * Creates a call with a JSON body.
	 * @param address ip:port of the other side
	 * @param path path with query
	 * @param message the message to write as JSON
	 * @return the call, with the default time limits
	 */
	public static HttpCall post(String address, String path, Object message) {
		HttpHeader type = new HttpHeader("Content-Type", "application/json");
		return new HttpCall(address, "POST", path, List.of(type), JsonCodec.write(message), 0, 0, ALWAYS_OPEN);
	}

	/**
	 * Returns a copy of the call with one time limit for the first byte, between two
	 * bytes and in total.
	 * @param millis the limit in milliseconds
	 * @return the copy
	 */
	public HttpCall within(int millis) {
		return new HttpCall(this.address, this.method, this.path, this.headers, this.body, millis, millis,
				this.boundary);
	}

}
