package org.comfreyslip.acceptance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.TokenizeRequest;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.standins.engine.ReferenceModel;

/**
 * A caller of the system.
 */
final class Caller {

	private static final int LIMIT_MILLIS = 60_000;

	private final HttpTransport http;

	Caller(HttpTransport http) {
		this.http = http;
	}

	CompletableFuture<HttpReply> complete(String daemon, String prompt, int maxTokens, boolean stream) {
		Map<String, Object> body = Map.of("model", Deployment.MODEL, "prompt", prompt, "max_tokens", maxTokens,
				"stream", stream);
		return send(daemon, "POST", "/v1/completions", List.of(), JsonCodec.write(body));
	}

	CompletableFuture<HttpReply> stamp(String daemon, String certificate, String key) {
		return send(daemon, "POST", "/services/archive/stamps", List.of(new HttpHeader("Idempotency-Key", key)),
				JsonCodec.write(Map.of("certificate", certificate, "result", "passed")));
	}

	CompletableFuture<HttpReply> get(String daemon, String path) {
		return send(daemon, "GET", path, List.of(), null);
	}

	CompletableFuture<HttpReply> send(String daemon, String method, String path, List<HttpHeader> headers,
			byte[] body) {
		List<HttpHeader> all = new ArrayList<>(headers);
		all.add(new HttpHeader("Authorization", "Bearer " + Deployment.KEY));
		all.add(new HttpHeader("Content-Type", "application/json"));
		return this.http.send(new HttpCall(daemon, method, path, all, body, LIMIT_MILLIS, LIMIT_MILLIS,
				HttpCall.get("", "").boundary()));
	}

	static String newKey() {
		return IdempotencyKeyPolicy.newKey(System.currentTimeMillis(), new java.util.Random());
	}

	/**
	 * Computes the answer that the model gives, without any router.
	 * @param deployment where the tokenizer runs
	 * @param prompt the prompt
	 * @param maxTokens the token limit
	 * @return the text
	 */
	String expected(Deployment deployment, String prompt, int maxTokens) {
		String address = deployment.address(Deployment.engineName("0-4", "fast"));
		int[] tokens = new EngineClient(this.http, address, LIMIT_MILLIS)
			.tokenize(new TokenizeRequest(Deployment.MODEL, prompt))
			.join()
			.tokens();
		return text(tokens, maxTokens);
	}

	static String text(int[] prompt, int maxTokens) {
		StringBuilder text = new StringBuilder();
		IntStream.of(ReferenceModel.answer(Deployment.LAYERS, prompt, maxTokens))
			.forEach((token) -> text.append(ReferenceModel.text(token)));
		return text.toString();
	}

	static String textOf(HttpReply reply) {
		return JsonCodec.read(reply.body(), com.fasterxml.jackson.databind.JsonNode.class)
			.path("choices")
			.path(0)
			.path("text")
			.asText();
	}

	static String textOfStream(HttpReply reply) {
		StringBuilder text = new StringBuilder();
		boolean done = false;
		for (String line : new String(reply.body(), StandardCharsets.UTF_8).split("\n")) {
			if (line.equals("data: [DONE]")) {
				done = true;
			}
			else if (line.startsWith("data: ")) {
				byte[] json = line.substring(6).getBytes(StandardCharsets.UTF_8);
				text.append(JsonCodec.read(json, com.fasterxml.jackson.databind.JsonNode.class)
					.path("choices")
					.path(0)
					.path("text")
					.asText());
			}
		}
		return done ? text.toString() : text + " (broken off)";
	}

}
