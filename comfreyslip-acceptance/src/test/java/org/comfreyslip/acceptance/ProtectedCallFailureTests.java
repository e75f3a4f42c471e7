package org.comfreyslip.acceptance;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Stamps while the log, the service and the daemons fail. Guards against stamps that are
 * recorded twice, and against "not run" about a stamp that was recorded.
 */
class ProtectedCallFailureTests {

	@TempDir
	private Path directory;

	private Deployment deployment;

	private Caller caller;

	@BeforeEach
	void start() {
		this.deployment = new Deployment(this.directory).start(2);
		this.caller = new Caller(this.deployment.http());
	}

	@AfterEach
	void stop() {
		this.deployment.close();
	}

	@Test
	void aStampIsRefusedAsNotRunWhileTheLogIsDownAndRunsAfterwards() {
		String key = Caller.newKey();
		this.deployment.fault("log", "DOWN", 600_000);
		HttpReply refused = stamp("daemon-1", key);
		assertThat(refused.status()).isEqualTo(503);
		assertThat(text(refused)).contains("LOG_UNAVAILABLE", "\"not_run\":true");
		assertThat(recordsWith(key)).isZero();
		this.deployment.fault("log", "NONE", 0);
		await().atMost(Duration.ofSeconds(30)).until(() -> stamp("daemon-2", key).isSuccess());
		assertThat(recordsWith(key)).isEqualTo(1);
	}

	@Test
	void aLostAnswerOfTheLogDoesNotDoubleOrLoseAStamp() {
		String key = Caller.newKey();
		this.deployment.fault("log", Map.of("mode", "LOST_ANSWER", "forMillis", 600_000, "probability", 1.0,
				"delayMillis", 0, "method", "POST", "times", 3));
		HttpReply reply = stamp("daemon-1", key);
		assertThat(reply.isSuccess()).as(text(reply)).isTrue();
		assertThat(recordsWith(key)).isEqualTo(1);
	}

	@Test
	void aLostAnswerOfTheServiceIsHealedByLookUp() {
		String key = Caller.newKey();
		for (String archive : List.of("archive-1", "archive-2")) {
			this.deployment.fault(archive, Map.of("mode", "LOST_ANSWER", "forMillis", 600_000, "probability", 1.0,
					"delayMillis", 0, "method", "POST"));
		}
		stamp("daemon-1", key);
		for (String archive : List.of("archive-1", "archive-2")) {
			this.deployment.fault(archive, "NONE", 0);
		}
		await().atMost(Duration.ofSeconds(30)).until(() -> stamp("daemon-2", key).isSuccess());
		assertThat(recordsWith(key)).isEqualTo(1);
	}

	@Test
	void aStampOfADaemonThatDiesIsNotRepeatedByAnother() {
		String key = Caller.newKey();
		slowStamps();
		CompletableFuture<HttpReply> first = this.caller.stamp(this.deployment.address("daemon-1"), "C-1", key);
		await().until(() -> claimsInLog() > 0);
		this.deployment.process("daemon-1").kill();
		assertThat(first.handle((reply, ex) -> ex != null).join()).isTrue();
		HttpReply second = stamp("daemon-2", key);
		assertThat(second.status()).as(text(second)).isIn(200, 201, 502);
		await().atMost(Duration.ofSeconds(30)).until(() -> recordsWith(key) <= 1 && isSettled(key));
		assertThat(recordsWith(key)).isLessThanOrEqualTo(1);
	}

	@Test
	void aDaemonThatIsPausedDuringAStampNeitherDoublesNorLosesIt() {
		String key = Caller.newKey();
		slowStamps();
		CompletableFuture<HttpReply> first = stampWithin("daemon-1", key, 20_000);
		await().until(() -> claimsInLog() > 0);
		this.deployment.process("daemon-1").pause();
		HttpReply meanwhile = stamp("daemon-2", key);
		assertThat(meanwhile.status()).as(text(meanwhile)).isIn(200, 502);
		this.deployment.process("daemon-1").resume();
		assertThat(first.join().isSuccess()).as(text(first.join())).isTrue();
		await().atMost(Duration.ofSeconds(30)).until(() -> stamp("daemon-2", key).isSuccess());
		assertThat(recordsWith(key)).isEqualTo(1);
	}

	@Test
	void aKeySentToBothDaemonsAtOnceIsRecordedOnce() {
		List<String> keys = new ArrayList<>();
		List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			String key = Caller.newKey();
			keys.add(key);
			replies.add(this.caller.stamp(this.deployment.address("daemon-1"), "C-1", key));
			replies.add(this.caller.stamp(this.deployment.address("daemon-2"), "C-1", key));
		}
		for (CompletableFuture<HttpReply> reply : replies) {
			assertThat(reply.join().isSuccess()).as(text(reply.join())).isTrue();
		}
		assertThat(keys).allMatch((key) -> recordsWith(key) == 1);
	}

	@Test
	void aStampThatTheServiceRefusedCanBeRepeatedWithItsKey() {
		String key = Caller.newKey();
		for (String archive : List.of("archive-1", "archive-2")) {
			this.deployment.fault(archive, Map.of("mode", "DOWN", "forMillis", 600_000, "probability", 1.0,
					"delayMillis", 0, "method", "POST"));
		}
		HttpReply refused = stamp("daemon-1", key);
		assertThat(refused.status()).as(text(refused)).isEqualTo(503);
		assertThat(refused.header("Retry-After")).isNotNull();
		for (String archive : List.of("archive-1", "archive-2")) {
			this.deployment.fault(archive, "NONE", 0);
		}
		await().atMost(Duration.ofSeconds(30)).until(() -> stamp("daemon-2", key).isSuccess());
		assertThat(recordsWith(key)).isEqualTo(1);
	}

	@Test
	void aKeyThatIsTooOldToBeCheckedIsRefusedAsNotRun() {
		long twoHoursAgo = System.currentTimeMillis() - Duration.ofHours(2).toMillis();
		String key = org.comfreyslip.coordination.claim.IdempotencyKeyPolicy.newKey(twoHoursAgo,
				new java.util.Random());
		HttpReply reply = stamp("daemon-1", key);
		assertThat(reply.status()).isEqualTo(410);
		assertThat(text(reply)).contains("KEY_EXPIRED", "\"not_run\":true");
		assertThat(recordsWith(key)).isZero();
	}

	private void slowStamps() {
		for (String archive : List.of("archive-1", "archive-2")) {
			this.deployment.fault(archive, Map.of("mode", "SLOW", "forMillis", 600_000, "probability", 1.0,
					"delayMillis", 1_500, "method", "POST"));
		}
	}

	private HttpReply stamp(String daemon, String key) {
		return this.caller.stamp(this.deployment.address(daemon), "C-1", key).join();
	}

	private CompletableFuture<HttpReply> stampWithin(String daemon, String key, long millis) {
		List<HttpHeader> headers = List.of(new HttpHeader("Idempotency-Key", key),
				new HttpHeader("Request-Timeout-Ms", Long.toString(millis)));
		return this.caller.send(this.deployment.address(daemon), "POST", "/services/archive/stamps", headers,
				JsonCodec.write(Map.of("certificate", "C-1", "result", "passed")));
	}

	private boolean isSettled(String key) {
		String view = text(this.caller.get(this.deployment.address("daemon-2"), "/v1/outcomes/archive/" + key).join());
		return view.contains("\"state\":\"done\"") || recordsWith(key) == 0;
	}

	private int claimsInLog() {
		int records = 0;
		for (int i = 0; i < 8; i++) {
			String page = text(this.deployment.http()
				.send(HttpCall.get(this.deployment.address("log"), "/streams/claims-" + i + "/records?from=0&max=1"))
				.join());
			records += page.contains("\"records\":[{") ? 1 : 0;
		}
		return records;
	}

	private long recordsWith(String key) {
		long count = 0;
		for (String archive : List.of("archive-1", "archive-2")) {
			HttpReply reply = this.deployment.http()
				.send(HttpCall.get(this.deployment.address(archive), "/records"))
				.join();
			count += text(reply).split(key, -1).length - 1;
		}
		return count;
	}

	private static String text(HttpReply reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

}
