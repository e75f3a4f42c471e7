package org.comfreyslip.daemon.http;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.comfreyslip.routing.pipeline.FinishReason;

/**
 * The two forms of completion requests and responses. Each constant parses the request
 * bodies of its path and builds the choices of its responses.
 */
enum CompletionStyle {

	/** Form of {@code /v1/chat/completions}. */
	CHAT("chatcmpl-", "chat.completion") {

		@Override
		CompletionRequest parseRequest(byte[] body) {
			return CompletionRequest.parseChat(body);
		}

		@Override
		Choice wholeChoice(String text, FinishReason reason) {
			return new Choice(0, null, new Message("assistant", text), null, reason.wireName());
		}

		@Override
		Choice deltaChoice(String text, FinishReason reason) {
			Message delta = new Message(null, text);
			return new Choice(0, null, null, delta, (reason != null) ? reason.wireName() : null);
		}

		@Override
		String chunkObject() {
			return "chat.completion.chunk";
		}

	},

	/** Form of {@code /v1/completions}. */
	TEXT("cmpl-", "text_completion") {

		@Override
		CompletionRequest parseRequest(byte[] body) {
			return CompletionRequest.parseCompletion(body);
		}

		@Override
		Choice wholeChoice(String text, FinishReason reason) {
			return new Choice(0, text, null, null, reason.wireName());
		}

		@Override
		Choice deltaChoice(String text, FinishReason reason) {
			return new Choice(0, (text != null) ? text : "", null, null, (reason != null) ? reason.wireName() : null);
		}

		@Override
		String chunkObject() {
			return "text_completion";
		}

	};

	private final String idPrefix;

	private final String object;

	CompletionStyle(String idPrefix, String object) {
		this.idPrefix = idPrefix;
		this.object = object;
	}

	abstract CompletionRequest parseRequest(byte[] body);

	abstract Choice wholeChoice(String text, FinishReason reason);

	abstract Choice deltaChoice(String text, FinishReason reason);

	abstract String chunkObject();

	Completion completion(String id, long created, String model, Choice choice, Usage usage) {
		return new Completion(this.idPrefix + id, this.object, created, model, List.of(choice), usage);
	}

	Completion chunk(String id, long created, String model, Choice choice) {
		return new Completion(this.idPrefix + id, chunkObject(), created, model, List.of(choice), null);
	}

	/**
	 * A whole completion, or one chunk of a completion that is sent as events.
	 *
	 * @param id the completion's id
	 * @param object the kind of message, as clients expect it
	 * @param created seconds since the epoch
	 * @param model the model's name
	 * @param choices always one choice
	 * @param usage the token counts, or {@code null} in a chunk
	 */
	record Completion(String id, String object, long created, String model, List<Choice> choices, Usage usage) {
	}

	/**
	 * The one choice of a completion.
	 *
	 * @param index always 0
	 * @param text the text of a plain completion, or {@code null}
	 * @param message the message of a whole chat completion, or {@code null}
	 * @param delta the added text in a chunk of a chat completion, or {@code null}
	 * @param finishReason why the completion ended, or {@code null} while it continues
	 */
	record Choice(int index, String text, Message message, Message delta,
			@JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A chat message.
	 *
	 * @param role the role of the author, or {@code null} in a chunk
	 * @param content the text, or {@code null} in the last chunk
	 */
	record Message(String role, String content) {
	}

	/**
	 * Token counts.
	 *
	 * @param completionTokens the number of generated tokens
	 */
	record Usage(@JsonProperty("completion_tokens") int completionTokens) {
	}

	/**
	 * The list of models.
	 *
	 * @param object always {@code list}
	 * @param data the id and object kind of each model
	 */
	record ModelList(String object, List<Map<String, String>> data) {
	}

}
