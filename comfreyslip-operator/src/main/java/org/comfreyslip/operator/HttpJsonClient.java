package org.comfreyslip.operator;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * HTTP calls with JSON responses.
 */
final class HttpJsonClient {

	/** Time limit for a new connection. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	/** Time limit of a whole call, long enough for a text of 4 MB on a slow link. */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	// A silent repetition by the client would hide that the outcome of an append is
	// unknown.
	private final OkHttpClient client = new OkHttpClient.Builder().connectTimeout(CONNECT_TIMEOUT)
		.callTimeout(CALL_TIMEOUT)
		.retryOnConnectionFailure(false)
		.followRedirects(false)
		.build();

	/**
	 * Sends a request.
	 * @param request the request
	 * @param peer what is called, for messages
	 * @param unreachable the code if no connection was made
	 * @param lost the code if the request may have arrived but no usable response came
	 * @return status and body
	 * @throws CodedException with one of the two codes
	 */
	HttpReply send(Request request, String peer, ErrorCode unreachable, ErrorCode lost) {
		try (Response response = this.client.newCall(request).execute()) {
			return new HttpReply(response.code(), response.body().string());
		}
		catch (ConnectException ex) {
			throw new CodedException(unreachable, peer + " cannot be reached: " + ex.getMessage(), ex);
		}
		catch (IOException ex) {
			throw new CodedException(lost, peer + " gave no complete response: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Parses a JSON body.
	 * @param reply the response
	 * @param peer what was called, for messages
	 * @param malformed the code if the body is not JSON
	 * @return the document
	 */
	JsonNode json(HttpReply reply, String peer, ErrorCode malformed) {
		try {
			return MAPPER.readTree(reply.body());
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(malformed, peer + " gave a response that is not JSON", ex);
		}
	}

}
