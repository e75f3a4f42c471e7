package org.comfreyslip.daemon.http;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * A parsed request for a completion, from either of the two paths.
 *
 * @param model the model's name
 * @param prompt the prompt; for a chat, one line {@code role: content} per message
 * @param maxTokens the number of tokens after which the completion ends
 * @param stream whether the caller wants server-sent events
 */
record CompletionRequest(String model, String prompt, int maxTokens, boolean stream) {

	private static final int DEFAULT_MAX_TOKENS = 256;

	private static final int MAX_TOKENS_LIMIT = 16_384;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parses the body of a chat completion.
	 * @param body the JSON text in UTF-8
	 * @return the request
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the body is not a
	 * valid request
	 */
	static CompletionRequest parseChat(byte[] body) {
		JsonNode root = parseObject(body);
		JsonNode messages = root.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			throw invalidField("messages", "a list of at least one message");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(requiredText(message, "role"))
				.append(": ")
				.append(contentText(message.path("content")))
				.append('\n');
		}
		return create(root, prompt.toString());
	}

	/**
	 * Parses the body of a plain completion.
	 * @param body the JSON text in UTF-8
	 * @return the request
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the body is not a
	 * valid request
	 */
	static CompletionRequest parseCompletion(byte[] body) {
		JsonNode root = parseObject(body);
		return create(root, requiredText(root, "prompt"));
	}

	private static CompletionRequest create(JsonNode root, String prompt) {
		JsonNode stream = root.path("stream");
		if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
			throw invalidField("stream", "true or false");
		}
		if (prompt.isBlank()) {
			throw invalidField("prompt", "a string that is not blank");
		}
		return new CompletionRequest(requiredText(root, "model"), prompt, maxTokens(root), stream.asBoolean(false));
	}

	private static int maxTokens(JsonNode root) {
		JsonNode newer = root.path("max_completion_tokens");
		JsonNode value = newer.isMissingNode() ? root.path("max_tokens") : newer;
		if (value.isMissingNode() || value.isNull()) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!value.isInt() || value.intValue() < 1 || value.intValue() > MAX_TOKENS_LIMIT) {
			throw invalidField("max_tokens", "a whole number from 1 to " + MAX_TOKENS_LIMIT);
		}
		return value.intValue();
	}

	private static String contentText(JsonNode content) {
		if (content.isTextual()) {
			return content.textValue();
		}
		if (!content.isArray()) {
			throw invalidField("content", "a string or a list of text parts");
		}
		StringBuilder text = new StringBuilder();
		for (JsonNode part : content) {
			if (!part.path("type").asText("").equals("text")) {
				throw invalidField("content", "parts of type 'text'");
			}
			text.append(requiredText(part, "text"));
		}
		return text.toString();
	}

	private static JsonNode parseObject(byte[] body) {
		try {
			// Jackson accepts some malformed UTF-8 sequences, so the encoding is checked
			// first.
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

	private static String requiredText(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isTextual()) {
			throw invalidField(field, "a string");
		}
		return value.textValue();
	}

	private static CodedException invalidField(String field, String allowed) {
		return new CodedException(ErrorCode.BAD_REQUEST, "field '" + field + "' has to be " + allowed);
	}

}
