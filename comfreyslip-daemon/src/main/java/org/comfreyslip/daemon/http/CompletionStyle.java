package org.comfreyslip.daemon.http;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.comfreyslip.routing.pipeline.FinishReason;

/**
 * The two forms of completion messages.
 */
enum CompletionStyle {

	/** Form of {@code /v1/chat/completions}. */
	CHAT("chatcmpl-", "chat.completion") {

		@Override
		ChatRequest parse(byte[] body) {
			return ChatRequest.chat(body);
		}

		@Override
		Choice whole(String text, FinishReason reason) {
			return new Choice(0, null, new Message("assistant", text), null, reason.wireName());
		}

		@Override
		Choice delta(String text, FinishReason reason) {
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
		ChatRequest parse(byte[] body) {
			return ChatRequest.completion(body);
		}

		@Override
		Choice whole(String text, FinishReason reason) {
			return new Choice(0, text, null, null, reason.wireName());
		}

		@Override
		Choice delta(String text, FinishReason reason) {
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

	abstract ChatRequest parse(byte[] body);

	abstract Choice whole(String text, FinishReason reason);

	abstract Choice delta(String text, FinishReason reason);

	abstract String chunkObject();

	Completion completion(String id, long created, String model, Choice choice, Usage usage) {
		return new Completion(this.idPrefix + id, this.object, created, model, List.of(choice), usage);
	}

	Completion chunk(String id, long created, String model, Choice choice) {
		return new Completion(this.idPrefix + id, chunkObject(), created, model, List.of(choice), null);
	}

	/**
	 * A completion or a chunk of one.
	 *
	 * @param id the completion's id
	 * @param object the kind of message
	 * @param created seconds since the epoch
	 * @param model the model's name
	 * @param choices the one choice
	 * @param usage the token counts, of a whole completion only
	 */
	record Completion(String id, String object, long created, String model, List<Choice> choices, Usage usage) {
	}

	/**
	 * The one choice of a completion.
	 *
	 * @param index always 0
	 * @param text the text, for plain completions
	 * @param message the whole message, for chat completions
	 * @param delta the added part, for chunks of chat completions
	 * @param finishReason why the answer ended, or {@code null} while it goes on
	 */
	record Choice(int index, String text, Message message, Message delta,
			@JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A chat message.
	 *
	 * @param role the role
	 * @param content the text
	 */
	record Message(String role, String content) {
	}

	/**
	 * Token counts.
	 *
	 * @param completionTokens tokens of the answer
	 */
	record Usage(@JsonProperty("completion_tokens") int completionTokens) {
	}

	/**
	 * The list of models.
	 *
	 * @param object always {@code list}
	 * @param data the models
	 */
	record ModelList(String object, List<Map<String, String>> data) {
	}

}
