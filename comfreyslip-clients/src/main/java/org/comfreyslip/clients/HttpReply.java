package org.comfreyslip.clients;

import java.util.List;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status
 * @param headers headers in order
 * @param body the whole body, empty if there was none
 */
public record HttpReply(int status, List<HttpHeader> headers, byte[] body) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	/**
	 * Returns whether the status is 2xx.
	 * @return {@code true} for a success
	 */
	public boolean isSuccess() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Returns the first value of a header.
	 * @param name name of the header, in any case
	 * @return the value, or {@code null} if the header is absent
	 */
	public String header(String name) {
		for (HttpHeader header : this.headers) {
			if (header.name().equalsIgnoreCase(name)) {
				return header.value();
			}
		}
		return null;
	}

	/**
	 * Reads the body of a successful response as JSON.
	 * @param <T> the message type
	 * @param type class to read the body as
	 * @return the message, never {@code null}
	 * @throws CodedException with the code of the error body if the status is not 2xx
	 */
	public <T> T json(Class<T> type) {
		requireSuccess();
		return JsonCodec.read(this.body, type);
	}

	/**
	 * Checks that the status is 2xx.
	 * @throws CodedException with the code of the error body if it is not
	 */
	public void requireSuccess() {
		if (!isSuccess()) {
			throw error();
		}
	}

	private CodedException error() {
		try {
			ErrorBody error = JsonCodec.read(this.body, ErrorBody.class);
			return new CodedException(ErrorCode.valueOf(error.code()),
					"status " + this.status + ": " + error.message());
		}
		catch (CodedException | IllegalArgumentException | NullPointerException ex) {
			return new CodedException(ErrorCode.ENDPOINT_FAILED, "status " + this.status + " without an error code");
		}
	}

}
