package org.comfreyslip.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Judges error answers.
 */
final class ErrorAnswer {

	/** Code of a connection that ended without an answer. */
	static final String CONNECTION = "CONNECTION";

	private ErrorAnswer() {
	}

	static Answer of(int status, byte[] body) {
		try {
			return of(JsonCodec.read(body, JsonNode.class).path("error"), "STATUS_" + status);
		}
		catch (CodedException ex) {
			return Answer.of(AnswerClass.FAILED, "STATUS_" + status);
		}
	}

	static Answer of(JsonNode error, String otherwise) {
		String code = error.path("code").asText(otherwise);
		if (error.path("not_run").asBoolean(false)) {
			return Answer.of(AnswerClass.NOT_RUN, code);
		}
		boolean unknown = code.equals(ErrorCode.OUTCOME_UNKNOWN.name());
		return Answer.of(unknown ? AnswerClass.UNKNOWN : AnswerClass.FAILED, code);
	}

	static Answer of(Throwable failure) {
		Throwable cause = (failure.getCause() instanceof CallFailedException) ? failure.getCause() : failure;
		if (cause instanceof CallFailedException failed && !failed.mayHaveBeenSent()) {
			return Answer.of(AnswerClass.NOT_RUN, CONNECTION);
		}
		return Answer.of(AnswerClass.FAILED, CONNECTION);
	}

}
