package org.comfreyslip.clients;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;

import org.awaitility.Awaitility;
import org.comfreyslip.clients.service.ServiceCall;
import org.comfreyslip.clients.service.ServiceClient;
import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.ErrorCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against calls that are sent twice, sent after their caller was told "not run",
 * or reported as unsent although a byte was sent.
 */
class HttpTransportTests {

	private static final ServiceCall POST = new ServiceCall("POST", "/stamps", List.of(), new byte[] { '1' }, 5_000);

	private final HttpTransport http = new HttpTransport();

	@AfterEach
	void closeClient() {
		this.http.close();
	}

	@Test
	void aCallWithAClosedBoundaryConnectsButSendsNoByte() throws IOException {
		try (ScriptedServer server = new ScriptedServer((out) -> write(out, "200 OK", "", "x"))) {
			CallBoundary boundary = new CallBoundary();
			boundary.closeAsNotRun(ErrorCode.DEADLINE_EXCEEDED, "too late", -1);
			CallFailedException failure = failure(new ServiceClient(this.http, server.address()).send(POST, boundary));
			assertThat(failure.mayHaveBeenSent()).isFalse();
			Awaitility.await().until(() -> !server.connections().isEmpty());
			assertThat(server.requests()).isEmpty();
		}
	}

	@Test
	void aCallThatWasSentAndLostIsReportedAsSentAndNotRepeated() throws IOException {
		try (ScriptedServer server = new ScriptedServer(OutputStream::close)) {
			CallBoundary boundary = new CallBoundary();
			CallFailedException failure = failure(new ServiceClient(this.http, server.address()).send(POST, boundary));
			assertThat(failure.mayHaveBeenSent()).isTrue();
			assertThat(boundary.isOpen()).isTrue();
			assertThat(server.requests()).hasSize(1);
		}
	}

	@Test
	void aRefusedConnectionIsReportedAsNotSent() throws IOException {
		ScriptedServer server = new ScriptedServer(OutputStream::close);
		server.close();
		CallBoundary boundary = new CallBoundary();
		CallFailedException failure = failure(new ServiceClient(this.http, server.address()).send(POST, boundary));
		assertThat(failure.mayHaveBeenSent()).isFalse();
		assertThat(boundary.isOpen()).isFalse();
	}

	@Test
	void aCallIsNotRepeatedAfterStatus503WithRetryAfterZero() throws IOException {
		String header = "Retry-After: 0\r\n";
		try (ScriptedServer server = new ScriptedServer((out) -> write(out, "503 Unavailable", header, "x"))) {
			for (HttpCall call : List.of(HttpCall.get(server.address(), "/a"),
					HttpCall.post(server.address(), "/b", "c"))) {
				assertThat(this.http.send(call).join().status()).isEqualTo(503);
			}
			assertThat(server.requests()).containsExactly("GET /a HTTP/1.1", "POST /b HTTP/1.1");
		}
	}

	@Test
	void aRedirectIsHandedToTheCallerInsteadOfBeingFollowed() throws IOException {
		String header = "Location: /other\r\n";
		try (ScriptedServer server = new ScriptedServer((out) -> write(out, "307 Elsewhere", header, ""))) {
			assertThat(this.http.send(HttpCall.get(server.address(), "/a")).join().status()).isEqualTo(307);
			assertThat(server.requests()).hasSize(1);
		}
	}

	@Test
	void aBodyIsReadableBeforeItsEndWasSent() throws IOException {
		CountDownLatch firstByteRead = new CountDownLatch(1);
		ScriptedServer.Script script = (out) -> {
			out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na".getBytes(StandardCharsets.US_ASCII));
			out.flush();
			await(firstByteRead);
			out.write('b');
			out.flush();
		};
		try (ScriptedServer server = new ScriptedServer(script);
				HttpStream reply = new ServiceClient(this.http, server.address()).send(POST, () -> true).join()) {
			assertThat(reply.body().read()).isEqualTo('a');
			firstByteRead.countDown();
			assertThat(reply.body().read()).isEqualTo('b');
			assertThat(reply.body().read()).isEqualTo(-1);
		}
	}

	@Test
	void aServerThatNeverRespondsFailsTheCallAtItsTimeLimit() throws IOException {
		try (ScriptedServer server = new ScriptedServer((out) -> {
		})) {
			ServiceCall call = new ServiceCall("GET", "/a", List.of(), null, 100);
			CallFailedException failure = failure(
					new ServiceClient(this.http, server.address()).send(call, () -> true));
			assertThat(failure.mayHaveBeenSent()).isTrue();
		}
	}

	@Test
	void cancellingTheFutureEndsTheCall() throws IOException {
		try (ScriptedServer server = new ScriptedServer((out) -> {
		})) {
			CompletableFuture<HttpReply> reply = this.http.send(HttpCall.get(server.address(), "/a"));
			Awaitility.await().until(() -> !server.requests().isEmpty());
			reply.cancel(true);
			Awaitility.await().until(() -> this.http.callsInFlight() == 0);
		}
	}

	@Test
	void evictionMakesTheNextCallOpenANewConnection() throws IOException {
		try (ScriptedServer server = new ScriptedServer((out) -> write(out, "200 OK", "", "x"));
				ScriptedServer other = new ScriptedServer((out) -> write(out, "200 OK", "", "x"))) {
			call(server, other);
			call(server, other);
			assertThat(server.connections()).hasSize(1);
			Awaitility.await().until(() -> this.http.evictIdle(server.address()) == 1);
			call(server, other);
			assertThat(server.connections()).hasSize(2);
			assertThat(other.connections()).hasSize(1);
		}
	}

	@Test
	void aThousandCallsToOneAddressAreInFlightTogether() throws IOException {
		CountDownLatch all = new CountDownLatch(1);
		ScriptedServer.Script script = (out) -> {
			await(all);
			write(out, "200 OK", "", "x");
		};
		try (ScriptedServer server = new ScriptedServer(script)) {
			List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
			for (int call = 0; call < 1_000; call++) {
				replies.add(this.http.send(HttpCall.get(server.address(), "/" + call).within(60_000)));
			}
			Awaitility.await().atMost(Duration.ofMinutes(1)).until(() -> server.requests().size() == 1_000);
			all.countDown();
			replies.forEach((reply) -> assertThat(reply.join().isSuccess()).isTrue());
		}
	}

	private void call(ScriptedServer... servers) {
		for (ScriptedServer server : servers) {
			this.http.send(HttpCall.get(server.address(), "/a")).join();
		}
	}

	private static CallFailedException failure(CompletableFuture<?> future) {
		CompletionException thrown = catchThrowableOfType(CompletionException.class, future::join);
		assertThat(thrown).hasCauseInstanceOf(CallFailedException.class);
		return (CallFailedException) thrown.getCause();
	}

	private static void write(OutputStream out, String status, String headers, String body) throws IOException {
		String text = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
