package org.comfreyslip.acceptance;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The whole path through separate processes. Guards against parts that work alone and not
 * together.
 */
class WholePathTests {

	/** Longest wait for a response and the end of its connection, in ms. */
	private static final int SOCKET_LIMIT_MILLIS = 20_000;

	private static Deployment deployment;

	private static Caller caller;

	@BeforeAll
	static void start(@TempDir Path directory) {
		deployment = new Deployment(directory).start(2);
		caller = new Caller(deployment.http());
	}

	@AfterAll
	static void stop() {
		deployment.close();
	}

	@Test
	void anAnswerPassesEveryLayerOnceInOrder() {
		String prompt = "What is the carbon content of heat 4711?";
		HttpReply reply = caller.complete(deployment.address("daemon-1"), prompt, 24, false).join();
		assertThat(reply.status()).as(new String(reply.body(), StandardCharsets.UTF_8)).isEqualTo(200);
		assertThat(Caller.textOf(reply)).isEqualTo(caller.expected(deployment, prompt, 24));
	}

	@Test
	void aStreamedAnswerIsComplete() {
		String prompt = "Summarise the tensile results.";
		HttpReply reply = caller.complete(deployment.address("daemon-2"), prompt, 40, true).join();
		assertThat(Caller.textOfStream(reply)).isEqualTo(caller.expected(deployment, prompt, 40));
	}

	@Test
	void aStampIsRecordedOnceEvenIfTheCallerRepeatsItAtAnotherDaemon() {
		String key = Caller.newKey();
		HttpReply first = caller.stamp(deployment.address("daemon-1"), "C-1", key).join();
		HttpReply second = caller.stamp(deployment.address("daemon-2"), "C-1", key).join();
		assertThat(first.status()).as(new String(first.body(), StandardCharsets.UTF_8)).isBetween(200, 299);
		assertThat(second.status()).isEqualTo(first.status());
		assertThat(second.body()).isEqualTo(first.body());
		assertThat(recordsWith(key)).as(new String(first.body(), StandardCharsets.UTF_8) + records()).isEqualTo(1);
	}

	@Test
	void aLookUpIsPassedToTheService() {
		String key = Caller.newKey();
		caller.stamp(deployment.address("daemon-1"), "C-2", key).join();
		HttpReply reply = caller.get(deployment.address("daemon-2"), "/services/archive/stamps/C-2").join();
		assertThat(reply.status()).isIn(200, 404);
	}

	@Test
	void aRequestIsExplained() {
		HttpReply reply = caller.complete(deployment.address("daemon-1"), "Explain this", 4, false).join();
		String id = reply.header("X-Request-Id");
		HttpReply record = deployment.http()
			.send(HttpCall.get(deployment.adminAddress("daemon-1"), "/admin/explain/" + id))
			.join();
		assertThat(new String(record.body(), StandardCharsets.UTF_8)).contains("planned", "answered with 4 tokens");
	}

	@Test
	void aRequestWithTwoLengthsIsRefusedByTheDaemonProcess() throws IOException {
		String address = deployment.address("daemon-1");
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
			socket.setSoTimeout(SOCKET_LIMIT_MILLIS);
			socket.getOutputStream()
				.write("POST /v1/completions HTTP/1.1\r\nHost: d\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response).startsWith("HTTP/1.1 400").contains("BAD_REQUEST");
		}
	}

	private static long recordsWith(String key) {
		return records().split(key, -1).length - 1;
	}

	private static String records() {
		StringBuilder records = new StringBuilder();
		for (String archive : new String[] { "archive-1", "archive-2" }) {
			HttpReply reply = deployment.http().send(HttpCall.get(deployment.address(archive), "/records")).join();
			records.append('\n').append(archive).append(' ').append(reply.status()).append(' ');
			records.append(new String(reply.body(), StandardCharsets.UTF_8));
		}
		return records.toString();
	}

}
