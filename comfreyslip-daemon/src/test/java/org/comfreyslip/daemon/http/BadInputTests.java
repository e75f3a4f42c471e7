package org.comfreyslip.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.daemon.InProcessDeployment;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Invalid and interrupted requests. Guards against errors without a code, and against
 * requests that end without giving back their permits.
 */
class BadInputTests {

	private static final int TIMEOUT_MILLIS = 20_000;

	private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	private static final String COMPLETIONS = "/v1/completions";

	private static final String STAMPS = "/services/archive/stamps";

	private static final HttpHeader CREDENTIAL = new HttpHeader("Authorization", "Bearer " + InProcessDeployment.KEY);

	private static InProcessDeployment deployment;

	@BeforeAll
	static void start() {
		deployment = new InProcessDeployment("");
		deployment.awaitReady();
	}

	@AfterAll
	static void stop() {
		deployment.close();
	}

	@AfterEach
	void awaitNothingOpen() {
		deployment.awaitIdle();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{", "[]", "null", "{\"model\":\"mill-qa\"}", "{\"model\":1,\"prompt\":\"a\"}",
			"{\"model\":\"mill-qa\",\"prompt\":7}", "{\"model\":\"mill-qa\",\"prompt\":\" \"}",
			"{\"model\":\"mill-qa\",\"prompt\":\"a\",\"stream\":\"yes\"}",
			"{\"model\":\"mill-qa\",\"prompt\":\"a\",\"max_tokens\":\"3\"}",
			"{\"model\":\"mill-qa\",\"prompt\":\"a\",\"max_tokens\":0}",
			"{\"model\":\"mill-qa\",\"prompt\":\"a\",\"max_tokens\":99999999999}" })
	void malformedBodiesAreRefused(String body) {
		assertRefused(post(COMPLETIONS, body.getBytes(StandardCharsets.UTF_8)), 400, "BAD_REQUEST");
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"model\":\"mill-qa\",\"messages\":{}}", "{\"model\":\"mill-qa\",\"messages\":[]}",
			"{\"model\":\"mill-qa\",\"messages\":[1]}",
			"{\"model\":\"mill-qa\",\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"image\"}]}]}" })
	void malformedChatsAreRefused(String body) {
		assertRefused(post("/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8)), 400, "BAD_REQUEST");
	}

	@Test
	void aDeeplyNestedBodyIsRefused() {
		byte[] body = ("{\"a\":" + "[".repeat(100_000)).getBytes(StandardCharsets.UTF_8);
		assertRefused(post(COMPLETIONS, body), 400, "BAD_REQUEST");
	}

	@Test
	void aBodyThatIsNotUtf8IsRefused() {
		byte[] body = "{\"model\":\"mill-qa\",\"prompt\":\"\u00e9\"}".getBytes(StandardCharsets.ISO_8859_1);
		assertRefused(post(COMPLETIONS, body), 400, "BAD_REQUEST");
	}

	@Test
	void aBodyOverTheLimitIsRefused() {
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send(RawCaller.head("POST", COMPLETIONS, MAX_BODY_BYTES + 1)).send(new byte[MAX_BODY_BYTES + 1]);
			assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 413").contains("BODY_TOO_LARGE");
		}
	}

	@Test
	void headersOverTheLimitAreRefused() {
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send(RawCaller.head("GET", "/v1/models", 0, "X-Large: " + "a".repeat(20_000)));
			String response = caller.readUntil("}}");
			assertThat(response).startsWith("HTTP/1.1 400").contains("BAD_REQUEST", "header");
			assertThat(caller.readUntil("}}")).as("the connection is closed").isEmpty();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "garbage\r\n\r\n", "POST /v1/completions HTTP/1.1\r\nContent-Length: many\r\n\r\n" })
	void requestsThatAreNotHttpGetATypedError(String request) {
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send(request);
			assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 400").contains("BAD_REQUEST");
		}
	}

	@Test
	void aMalformedChunkedBodyIsNotAcceptedAsComplete() {
		String body = new String(completion(1, false), StandardCharsets.UTF_8);
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send("POST " + COMPLETIONS + " HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer "
					+ InProcessDeployment.KEY + "\r\nTransfer-Encoding: chunked\r\n\r\n"
					+ Integer.toHexString(body.length()) + "\r\n" + body + "\r\nno-size\r\n");
			assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 400").contains("BAD_REQUEST");
		}
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "Content-Length: 5\r\nContent-Length: 6", "Content-Length: 5\r\nTransfer-Encoding: chunked",
					"Transfer-Encoding: chunked\r\nContent-Length: 5", "Transfer-Encoding: gzip, chunked" })
	void aRequestWhoseLengthIsAmbiguousIsRefusedAndItsConnectionCloses(String lengths) {
		long before = deployment.stampCount();
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller
				.send("POST " + STAMPS + " HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer " + InProcessDeployment.KEY
						+ "\r\n" + lengths + "\r\n\r\n0\r\n\r\n" + RawCaller.head("POST", STAMPS, 0));
			assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 400").contains("BAD_REQUEST");
			assertThat(caller.readUntil("}}")).as("the connection is closed").isEmpty();
		}
		assertThat(deployment.stampCount()).isEqualTo(before);
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET /no/such/path", "GET /services/none/x", "GET " + COMPLETIONS })
	void aRefusedRequestWithConnectionCloseClosesItsConnection(String request) {
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			String[] parts = request.split(" ");
			caller.send(RawCaller.head(parts[0], parts[1], 0, "Connection: close"));
			assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 40").containsIgnoringCase("connection: close");
			assertThat(caller.readUntil("}}")).as("the connection is closed").isEmpty();
		}
	}

	@Test
	void aRefusedRequestWithoutConnectionCloseKeepsItsConnection() {
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send(RawCaller.head("GET", "/no/such/path", 0));
			assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 404");
			caller.send(RawCaller.head("GET", "/services/none/x", 0));
			assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 404");
		}
	}

	@Test
	void anUnknownPathGetsATypedError() {
		assertRefused(get("/no/such/path", CREDENTIAL), 404, "NOT_FOUND");
	}

	@ParameterizedTest
	@ValueSource(strings = { "/none", "/admin/explain/none" })
	void theOperatorsListenerAlsoSendsTypedErrors(String path) {
		HttpReply reply = deployment.http().send(HttpCall.get(deployment.adminAddress(), path)).join();
		assertThat(reply.status()).isEqualTo(404);
		assertThat(new String(reply.body(), StandardCharsets.UTF_8)).startsWith("{").contains("NOT_FOUND");
		HttpReply wrongMethod = deployment.http()
			.send(HttpCall.post(deployment.adminAddress(), "/health", Map.of()))
			.join();
		assertThat(wrongMethod.status()).isEqualTo(400);
		assertThat(new String(wrongMethod.body(), StandardCharsets.UTF_8)).contains("BAD_REQUEST");
	}

	@Test
	void refusedAndAnsweredRequestsAreCounted() {
		assertRefused(post(COMPLETIONS, bytes("{")), 400, "BAD_REQUEST");
		assertThat(post(COMPLETIONS, completion(2, false)).status()).isEqualTo(200);
		HttpReply metrics = deployment.http().send(HttpCall.get(deployment.adminAddress(), "/metrics")).join();
		assertThat(new String(metrics.body(), StandardCharsets.UTF_8))
			.contains("comfreyslip_requests_total{account=\"-none\",outcome=\"not-run\"}")
			.contains("comfreyslip_requests_total{account=\"gate\",outcome=\"answered\"}")
			.contains("comfreyslip_first_token_seconds_count", "comfreyslip_between_tokens_seconds_count")
			.contains("comfreyslip_violations_total{promise=\"layers\"} 0.0")
			.contains("comfreyslip_violations_total{promise=\"protected\"} 0.0");
	}

	@Test
	void aWrongMethodGetsATypedError() {
		assertRefused(get(COMPLETIONS, CREDENTIAL), 400, "BAD_REQUEST");
	}

	@Test
	void anUnknownModelIsNamedInTheError() {
		byte[] body = "{\"model\":\"none\",\"prompt\":\"a\"}".getBytes(StandardCharsets.UTF_8);
		assertThat(assertRefused(post(COMPLETIONS, body), 404, "UNKNOWN_MODEL")).contains("'none'");
	}

	@Test
	void anUnknownServiceIsNamedInTheError() {
		assertThat(assertRefused(get("/services/none/x", CREDENTIAL), 404, "UNKNOWN_SERVICE")).contains("'none'");
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "Bearer", "Bearer ", "Bearer wrong", "Basic Z2F0ZTprZXk=", "gate-key" })
	void requestsWithoutAnAccountAreRefused(String credential) {
		assertRefused(get("/v1/models", new HttpHeader("Authorization", credential)), 401, "UNAUTHENTICATED");
		assertRefused(get("/v1/models"), 401, "UNAUTHENTICATED");
	}

	@Test
	void aProtectedCallWithoutAKeyIsRefused() {
		assertRefused(post(STAMPS, bytes("{}")), 400, "KEY_REQUIRED");
	}

	@ParameterizedTest
	@ValueSource(strings = { "1", "not-a-uuid", "3f2b8a52-3f0e-4b0e-9d5f-1f6a0c7a0b11" })
	void aProtectedCallWithAMalformedKeyIsRefused(String key) {
		assertRefused(post(STAMPS, bytes("{}"), new HttpHeader("Idempotency-Key", key)), 400, "BAD_REQUEST");
	}

	@Test
	void lookingUpAMalformedKeyIsRefused() {
		assertRefused(get("/v1/outcomes/archive/none", CREDENTIAL), 400, "BAD_REQUEST");
	}

	@ParameterizedTest
	@ValueSource(strings = { "soon", "0", "-1", "1.5", "99999999999999999999", "3600001" })
	void aTimeoutThatIsNotANumberInRangeIsRefused(String limit) {
		byte[] body = completion(1, false);
		assertRefused(post(COMPLETIONS, body, new HttpHeader("Request-Timeout-Ms", limit)), 400, "BAD_REQUEST");
	}

	@ParameterizedTest
	@ValueSource(strings = { "application/x-www-form-urlencoded", "multipart/form-data; boundary=x",
			"Application/X-WWW-Form-Urlencoded; charset=utf-8" })
	void formsAreRefusedAndNotForwardedEmpty(String type) {
		HttpHeader contentType = new HttpHeader("Content-Type", type);
		byte[] form = bytes(
				type.startsWith("m") ? "--x\r\nContent-Disposition: form-data; name=a\r\n\r\nb\r\n--x--\r\n" : "a=b");
		assertThat(assertRefused(post(COMPLETIONS, form, contentType), 400, "BAD_REQUEST")).contains("Content-Type");
		assertThat(assertRefused(post("/services/archive/notes", form, contentType), 400, "BAD_REQUEST"))
			.contains("Content-Type");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aCompletionEndsWhenItsCallerDisconnects(boolean stream) {
		byte[] body = completion(4_000, stream);
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send(RawCaller.head("POST", COMPLETIONS, body.length)).send(body);
			if (stream) {
				assertThat(caller.readUntil("data: ")).startsWith("HTTP/1.1 200");
			}
			InProcessDeployment.await("the completion has begun", () -> deployment.openCount() > 0);
		}
		deployment.awaitIdle();
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 10 })
	void anIncompleteRequestLeavesNothingOpen(int sent) {
		byte[] body = completion(10, false);
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send(RawCaller.head("POST", COMPLETIONS, body.length)).send(java.util.Arrays.copyOf(body, sent));
		}
		assertThat(post(COMPLETIONS, completion(2, false)).status()).isEqualTo(200);
	}

	private static byte[] completion(int tokens, boolean stream) {
		return JsonCodec.write(Map.of("model", InProcessDeployment.MODEL, "prompt", "Which heat?", "max_tokens", tokens,
				"stream", stream));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static HttpReply get(String path, HttpHeader... headers) {
		return send("GET", path, List.of(headers), null);
	}

	private static HttpReply post(String path, byte[] body, HttpHeader... headers) {
		List<HttpHeader> all = new ArrayList<>(List.of(headers));
		all.add(CREDENTIAL);
		return send("POST", path, all, body);
	}

	private static HttpReply send(String method, String path, List<HttpHeader> headers, byte[] body) {
		return deployment.http()
			.send(new HttpCall(deployment.callerAddress(), method, path, headers, body, TIMEOUT_MILLIS, TIMEOUT_MILLIS,
					HttpCall.get("", "").boundary()))
			.join();
	}

	private static String assertRefused(HttpReply reply, int status, String code) {
		String text = new String(reply.body(), StandardCharsets.UTF_8);
		assertThat(reply.status()).as(text).isEqualTo(status);
		JsonNode error = JsonCodec.read(reply.body(), JsonNode.class).path("error");
		assertThat(error.path("code").asText()).as(text).isEqualTo(code);
		assertThat(error.path("remedy").asText()).isNotEmpty();
		return error.path("message").asText();
	}

}
