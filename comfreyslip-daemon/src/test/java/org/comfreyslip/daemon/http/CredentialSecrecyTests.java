package org.comfreyslip.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.daemon.InProcessDeployment;
import org.comfreyslip.daemon.LogCapture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against credentials in the log and in error messages.
 */
class CredentialSecrecyTests {

	private static final int TIMEOUT_MILLIS = 20_000;

	private static final String WRONG_KEY = "wrong-key-5d1c7a";

	private static final String CONTROL_MESSAGE = "the capture works";

	private static LogCapture log;

	private static InProcessDeployment deployment;

	@BeforeAll
	static void start() {
		log = new LogCapture();
		deployment = new InProcessDeployment("");
		deployment.awaitReady();
	}

	@AfterAll
	static void stop() {
		deployment.close();
		log.close();
	}

	@Test
	void neitherLogNorResponsesContainAKey() {
		StringBuilder responses = new StringBuilder();
		for (String path : List.of("/v1/models", "/v1/completions", "/services/archive/stamps", "/none")) {
			for (String scheme : List.of("Bearer ", "bearer ", "Basic ", "")) {
				responses.append(send(deployment.callerAddress(), "POST", path, scheme + WRONG_KEY));
				responses.append(send(deployment.callerAddress(), "GET", path, scheme + WRONG_KEY));
			}
			responses.append(send(deployment.callerAddress(), "POST", path, "Bearer " + InProcessDeployment.KEY));
		}
		responses.append(send(deployment.adminAddress(), "POST", "/admin/drain", "Bearer " + WRONG_KEY));
		try (RawCaller caller = new RawCaller(deployment.callerAddress())) {
			caller.send("POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer " + WRONG_KEY + "\r\nContent-Length: "
					+ WRONG_KEY + "\r\n\r\n");
			responses.append(caller.readUntil("}}"));
		}
		LogManager.getLogger(CredentialSecrecyTests.class).error(CONTROL_MESSAGE);
		assertThat(responses).contains("UNAUTHENTICATED").doesNotContain(WRONG_KEY, InProcessDeployment.KEY);
		assertThat(log.text()).contains(CONTROL_MESSAGE).doesNotContain(WRONG_KEY, InProcessDeployment.KEY);
	}

	private static String send(String address, String method, String path, String credential) {
		byte[] body = method.equals("POST") ? "{}".getBytes(StandardCharsets.UTF_8) : null;
		HttpReply reply = deployment.http()
			.send(new HttpCall(address, method, path, List.of(new HttpHeader("Authorization", credential)), body,
					TIMEOUT_MILLIS, TIMEOUT_MILLIS, HttpCall.get("", "").boundary()))
			.join();
		return reply.headers() + new String(reply.body(), StandardCharsets.UTF_8);
	}

}
