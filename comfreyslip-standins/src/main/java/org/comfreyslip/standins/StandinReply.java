package org.comfreyslip.standins;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.ErrorBody;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Response of a stand-in.
 *
 * @param status HTTP status
 * @param type content type
 * @param headers further headers
 * @param body the body
 */
public record StandinReply(int status, String type, Map<String, String> headers, byte[] body) {

	private static final String JSON = "application/json";

	private static final int OK = 200;

	/**
	 * Creates a success with a JSON body.
	 * @param message the message
	 * @return the response
	 */
	public static StandinReply json(Object message) {
		return new StandinReply(OK, JSON, Map.of(), JsonCodec.write(message));
	}

	/**
	 * Creates an error response with the status of the code.
	 * @param code the code
	 * @param message what was found
	 * @return the response
	 */
	public static StandinReply error(ErrorCode code, String message) {
		return error(code.httpStatus(), code, message);
	}

	/**
	 * Creates an error response.
	 * @param status the HTTP status
	 * @param code the code
	 * @param message what was found
	 * @return the response
	 */
	public static StandinReply error(int status, ErrorCode code, String message) {
		return new StandinReply(status, JSON, Map.of(), JsonCodec.write(new ErrorBody(code.name(), message)));
	}

	/**
	 * Creates the error response for a failure of a handler.
	 * @param cause the failure
	 * @return the response
	 */
	public static StandinReply failure(Throwable cause) {
		if (cause instanceof CodedException coded) {
			return error(coded.code(), coded.getMessage());
		}
		return error(ErrorCode.INVARIANT_VIOLATED, String.valueOf(cause));
	}

	/**
	 * Wraps the response for a handler that answers at once.
	 * @return a completed future
	 */
	public CompletableFuture<StandinReply> now() {
		return CompletableFuture.completedFuture(this);
	}

}
