package org.comfreyslip.entry.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Translates between the header fields of callers, of this daemon and of endpoints.
 */
public interface HeaderTranslator {

	/** Largest number of parts of a prompt that are read. */
	int MAX_PROMPT_PARTS = 32;

	/**
	 * Reads the header fields of a caller's request.
	 * @param head the request head
	 * @return the values of the fields; fields that are missing or malformed have the
	 * values for "not stated"
	 */
	RequestFields readRequest(HttpRequest head);

	/**
	 * Turns the header fields of a caller's request into those for an endpoint: removes
	 * fields that concern one connection or that only a daemon may set, and sets the
	 * daemon's own fields.
	 * @param headers a copy of the caller's fields, which is modified
	 * @param forwarded the values of the daemon's own fields
	 */
	void rewriteForEndpoint(HttpHeaders headers, ForwardedRequest forwarded);

	/**
	 * Turns the header fields of a caller's request into those for another daemon, which
	 * treats it as a caller's request: removes fields that concern one connection and
	 * sets what has changed since.
	 * @param headers a copy of the caller's fields, which is modified
	 * @param remainingMs time until the deadline, in ms
	 * @param lastEventId identity of the last event that the caller has; empty at the
	 * start of a stream
	 */
	void rewriteForDaemon(HttpHeaders headers, long remainingMs, Optional<Long> lastEventId);

	/**
	 * Reads the header fields of an endpoint's response.
	 * @param head the response head
	 * @return the values of the fields
	 */
	ResponseFields readResponse(HttpResponse head);

	/**
	 * Turns the header fields of an endpoint's response into those for the caller:
	 * removes fields that concern only the connection to the endpoint.
	 * @param headers a copy of the endpoint's fields, which is modified
	 */
	void rewriteForCaller(HttpHeaders headers);

	/**
	 * Header fields of a caller's request.
	 *
	 * @param attemptId identity of the caller's attempt, empty if missing
	 * @param deadlineMs time that the caller will wait, in ms from the arrival; negative
	 * if not stated
	 * @param apiKey the API key; empty if missing
	 * @param promptTokens number of tokens of the prompt; 0 if not stated
	 * @param maxResponseTokens largest number of tokens of the response; 0 if not stated
	 * @param estimatedResponseTokens the caller's estimate of the number of tokens of the
	 * response; 0 if not stated
	 * @param lastEventId identity of the last event that the caller has of a stream to be
	 * resumed; empty at the start of a stream
	 * @param sharedPromptParts identities of the parts of the prompt in their order,
	 * without the last one, which belongs to the request or its session; at most
	 * {@link #MAX_PROMPT_PARTS}, empty if not stated
	 */
	record RequestFields(String attemptId, long deadlineMs, Optional<String> apiKey, int promptTokens,
			int maxResponseTokens, int estimatedResponseTokens, Optional<Long> lastEventId,
			List<String> sharedPromptParts) {
	}

	/**
	 * Values of the header fields that the daemon sets on a request to an endpoint.
	 *
	 * @param endpoint the endpoint that the request is sent to
	 * @param account name of the client account; empty on keyless routes
	 * @param remainingMs time until the deadline, in ms
	 * @param path the stages of the stream; empty for plain services
	 * @param lastEventId identity of the last event that the caller has; empty at the
	 * start of a stream
	 * @param priority rank of the request; 0 is the most urgent
	 */
	record ForwardedRequest(Endpoint endpoint, Optional<String> account, long remainingMs, Optional<LayerPath> path,
			Optional<Long> lastEventId, int priority) {
	}

	/**
	 * Header fields of an endpoint's response.
	 *
	 * @param attemptId identity of the caller's attempt to which it responds; empty if
	 * missing
	 * @param signed whether it carries the endpoint's signature
	 * @param notExecuted whether it states that the request was not run
	 * @param faultAddress address of the endpoint that caused a refusal; empty if not
	 * stated
	 * @param keepAliveMs how long the endpoint keeps an idle connection, in ms; negative
	 * if not stated
	 * @param reusable whether the connection may be used again
	 * @param contentEncoded whether the body has a content encoding, which was not
	 * requested
	 * @param requestsPerSecond request rate that the endpoint takes from all daemons
	 * together; empty if it states no limit
	 */
	record ResponseFields(Optional<String> attemptId, boolean signed, boolean notExecuted,
			Optional<String> faultAddress, long keepAliveMs, boolean reusable, boolean contentEncoded,
			OptionalDouble requestsPerSecond) {
	}

}
