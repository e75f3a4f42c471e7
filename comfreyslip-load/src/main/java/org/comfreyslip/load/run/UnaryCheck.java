package org.comfreyslip.load.run;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;

/**
 * Checks a completion in one piece.
 */
final class UnaryCheck {

	private UnaryCheck() {
	}

	static Answer judge(byte[] body, List<String> reference) {
		JsonNode root;
		try {
			root = JsonCodec.read(body, JsonNode.class);
		}
		catch (CodedException ex) {
			return new Answer(AnswerClass.FAILED, "NOT_JSON", 0, "the answer is not JSON");
		}
		int tokens = root.path("usage").path("completion_tokens").asInt(0);
		return new Answer(AnswerClass.DONE, null, tokens, violation(root, tokens, reference));
	}

	private static String violation(JsonNode root, int tokens, List<String> reference) {
		JsonNode choice = root.path("choices").path(0);
		if (root.path("choices").size() != 1 || choice.path("index").asInt(-1) != 0) {
			return "not exactly one choice with index 0";
		}
		if (!choice.hasNonNull("finish_reason")) {
			return "no finish reason";
		}
		if (!reference.isEmpty() && tokens != reference.size()) {
			return "the answer has " + tokens + " instead of " + reference.size() + " tokens";
		}
		if (!reference.isEmpty() && !choice.path("text").asText().equals(String.join("", reference))) {
			return "the text differs from the reference";
		}
		return null;
	}

}
