package org.comfreyslip.entry.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Translates the header fields that callers, daemons and endpoints use.
 */
public interface Wire {

	/**
	 * Reads the header fields of a caller's request.
	 * @param head the request head
	 * @return what the fields say
	 */
	RequestFacts request(HttpRequest head);

	/**
	 * Turns the header fields of a caller's request into those for an endpoint: removes
	 * what concerns one connection or what only a daemon may set, and sets the daemon's
	 * own fields.
	 * @param headers a copy of the caller's fields, changed in place
	 * @param forward what the daemon says
	 */
	void forward(HttpHeaders headers, Forward forward);

	/**
	 * Reads the header fields of an endpoint's response.
	 * @param head the response head
	 * @return what the fields say
	 */
	ReplyFacts reply(HttpResponse head);

	/**
	 * Removes fields that concern only the connection to the endpoint.
	 * @param headers the endpoint's fields, changed in place
	 */
	void relay(HttpHeaders headers);

	/**
	 * What a caller's request says.
	 *
	 * @param attemptId identity of the caller's attempt, empty if missing
	 * @param deadlineMs time that the caller will wait, in ms; negative if not stated
	 * @param apiKey the API key
	 * @param promptTokens tokens of the prompt; 0 if not stated
	 * @param maxAnswerTokens largest number of tokens of the answer; 0 if not stated
	 * @param likelyAnswerTokens the caller's estimate of the answer; 0 if not stated
	 * @param lastEventId the last event that the caller has of a stream to be resumed
	 */
	record RequestFacts(String attemptId, long deadlineMs, Optional<String> apiKey, int promptTokens,
			int maxAnswerTokens, int likelyAnswerTokens, Optional<Long> lastEventId) {
	}

	/**
	 * What the daemon says to an endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param account the client account, empty on keyless routes
	 * @param deadlineMs time that is left, in ms
	 * @param path the path over the layers, empty for plain services
	 * @param lastEventId the last event that the caller has, empty at the start of a
	 * stream
	 * @param priority rank of the request, 0 is the most urgent
	 */
	record Forward(Endpoint endpoint, Optional<String> account, long deadlineMs, Optional<LayerPath> path,
			Optional<Long> lastEventId, int priority) {
	}

	/**
	 * What an endpoint's response says.
	 *
	 * @param attemptId the attempt that it answers, empty if missing
	 * @param signed whether it bears the endpoint's signature
	 * @param notExecuted whether it states that the request did not run
	 * @param faultAddress address of the endpoint that caused a refusal
	 * @param keepAliveMs how long the endpoint keeps an idle connection, in ms; negative
	 * if not stated
	 * @param reusable whether the connection may be used again
	 * @param encoded whether the body has a content encoding, which nobody asked for
	 */
	record ReplyFacts(Optional<String> attemptId, boolean signed, boolean notExecuted, Optional<String> faultAddress,
			long keepAliveMs, boolean reusable, boolean encoded) {
	}

}
