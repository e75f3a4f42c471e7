package org.comfreyslip.load.run;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;

/**
 * Checks a completion by server-sent events while it arrives: one choice with index 0,
 * one finish reason, {@code [DONE]} as the last event, and the tokens of the reference.
 */
final class StreamCheck {

	private static final String DATA = "data: ";

	private final List<String> reference;

	private final List<String> tokens = new ArrayList<>();

	private final List<Long> times = new ArrayList<>();

	private boolean finished;

	private boolean done;

	private JsonNode error;

	private String violation;

	/**
	 * Creates a check.
	 * @param reference the texts of the tokens, empty if they are not known
	 */
	StreamCheck(List<String> reference) {
		this.reference = reference;
	}

	/**
	 * Takes a line of the answer.
	 * @param line the line
	 * @param nanos when it arrived
	 */
	void line(String line, long nanos) {
		if (!line.startsWith(DATA)) {
			return;
		}
		if (this.done || this.error != null) {
			violate("an event follows the last one");
		}
		else if (line.equals(DATA + "[DONE]")) {
			this.done = true;
		}
		else {
			event(line.substring(DATA.length()), nanos);
		}
	}

	/**
	 * Judges the answer after its last line.
	 * @return the judgement
	 */
	Answer judge() {
		checkReference();
		if (this.done && !this.finished) {
			violate("no finish reason");
		}
		AnswerClass answerClass = this.done ? AnswerClass.DONE : AnswerClass.INCOMPLETE;
		String code = null;
		if (this.error != null) {
			Answer answer = ErrorAnswer.of(this.error, "ERROR_EVENT");
			answerClass = answer.answerClass();
			code = answer.code();
		}
		return new Answer(answerClass, code, this.tokens.size(), this.violation);
	}

	long[] times() {
		return this.times.stream().mapToLong(Long::longValue).toArray();
	}

	private void event(String json, long nanos) {
		JsonNode event;
		try {
			event = JsonCodec.read(json.getBytes(StandardCharsets.UTF_8), JsonNode.class);
		}
		catch (CodedException ex) {
			violate("an event is not JSON");
			return;
		}
		if (event.has("error")) {
			this.error = event.path("error");
			return;
		}
		choice(event.path("choices"), nanos);
	}

	private void choice(JsonNode choices, long nanos) {
		if (choices.size() != 1 || choices.path(0).path("index").asInt(-1) != 0) {
			violate("an event has not exactly one choice with index 0");
		}
		String text = choices.path(0).path("text").asText("");
		if (!text.isEmpty()) {
			if (this.finished) {
				violate("a token follows the finish reason");
			}
			this.tokens.add(text);
			this.times.add(nanos);
		}
		if (choices.path(0).hasNonNull("finish_reason")) {
			if (this.finished) {
				violate("two finish reasons");
			}
			this.finished = true;
		}
	}

	private void checkReference() {
		if (this.reference.isEmpty()) {
			return;
		}
		for (int i = 0; i < this.tokens.size(); i++) {
			if (i >= this.reference.size() || !this.tokens.get(i).equals(this.reference.get(i))) {
				violate("token " + i + " differs from the reference");
				return;
			}
		}
		if (this.done && this.tokens.size() < this.reference.size()) {
			violate("the answer ends after " + this.tokens.size() + " of " + this.reference.size() + " tokens");
		}
	}

	private void violate(String what) {
		if (this.violation == null) {
			this.violation = what;
		}
	}

}
