package org.comfreyslip.daemon.http;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * A parsed completion request.
 *
 * @param model the model's name
 * @param prompt the prompt's text
 * @param maxTokens the number of tokens after which the answer ends
 * @param stream whether the caller wants server-sent events
 */
record ChatRequest(String model, String prompt, int maxTokens, boolean stream) {

	private static final int DEFAULT_MAX_TOKENS = 256;

	private static final int LARGEST_MAX_TOKENS = 16_384;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parses the body of a chat completion.
	 * @param body the body
	 * @return the request
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST}
	 */
	static ChatRequest chat(byte[] body) {
		JsonNode root = root(body);
		JsonNode messages = root.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			throw bad("messages", "a list of at least one message");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(text(message, "role")).append(": ").append(content(message.path("content"))).append('\n');
		}
		return of(root, prompt.toString());
	}

	/**
	 * Parses the body of a plain completion.
	 * @param body the body
	 * @return the request
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST}
	 */
	static ChatRequest completion(byte[] body) {
		JsonNode root = root(body);
		return of(root, text(root, "prompt"));
	}

	private static ChatRequest of(JsonNode root, String prompt) {
		JsonNode stream = root.path("stream");
		if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
			throw bad("stream", "true or false");
		}
		if (prompt.isBlank()) {
			throw bad("prompt", "a text that is not empty");
		}
		return new ChatRequest(text(root, "model"), prompt, maxTokens(root), stream.asBoolean(false));
	}

	private static int maxTokens(JsonNode root) {
		JsonNode newer = root.path("max_completion_tokens");
		JsonNode value = newer.isMissingNode() ? root.path("max_tokens") : newer;
		if (value.isMissingNode() || value.isNull()) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!value.isInt() || value.intValue() < 1 || value.intValue() > LARGEST_MAX_TOKENS) {
			throw bad("max_tokens", "a whole number from 1 to " + LARGEST_MAX_TOKENS);
		}
		return value.intValue();
	}

	private static String content(JsonNode content) {
		if (content.isTextual()) {
			return content.textValue();
		}
		if (!content.isArray()) {
			throw bad("content", "a text or a list of text parts");
		}
		StringBuilder text = new StringBuilder();
		for (JsonNode part : content) {
			if (!part.path("type").asText("").equals("text")) {
				throw bad("content", "parts of type 'text'");
			}
			text.append(text(part, "text"));
		}
		return text.toString();
	}

	private static JsonNode root(byte[] body) {
		try {
			// Jackson accepts some malformed sequences, so the encoding is checked first.
			StandardCharsets.UTF_8.newDecoder().decode(java.nio.ByteBuffer.wrap(body));
			JsonNode root = MAPPER.readTree(body);
			if (root == null || !root.isObject()) {
				throw new CodedException(ErrorCode.BAD_REQUEST, "the body is not a JSON object");
			}
			return root;
		}
		catch (CharacterCodingException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the body is not valid UTF-8", ex);
		}
		catch (IOException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the body is not valid JSON", ex);
		}
	}

	private static String text(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isTextual()) {
			throw bad(field, "a text");
		}
		return value.textValue();
	}

	private static CodedException bad(String field, String allowed) {
		return new CodedException(ErrorCode.BAD_REQUEST, "field '" + field + "' has to be " + allowed);
	}

}
