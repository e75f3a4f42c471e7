package org.comfreyslip.acceptance;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.standins.engine.ReferenceModel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Shutdown of a daemon with requests in progress. Guards against answers that are cut off
 * by a graceful shutdown.
 */
class DrainTests {

	private static final int TOKENS = 200;

	private static final long EXIT_SECONDS = 60;

	@TempDir
	private Path directory;

	private Deployment deployment;

	private Caller caller;

	@BeforeEach
	void start() {
		this.deployment = new Deployment(this.directory).start(1);
		this.caller = new Caller(this.deployment.http());
	}

	@AfterEach
	void stop() {
		this.deployment.close();
	}

	@Test
	void aGracefulShutdownCompletesEveryOpenAnswer() {
		List<CompletableFuture<HttpReply>> answers = startAnswers(12);
		this.deployment.process("daemon-1").terminate();
		await().until(() -> !isReady());
		for (int i = 0; i < answers.size(); i++) {
			assertThat(Caller.textOfStream(answers.get(i).join())).isEqualTo(expected(i));
		}
		assertThat(this.deployment.process("daemon-1").awaitExit(EXIT_SECONDS)).isZero();
	}

	@Test
	void aRequestAfterTheBalancersLagIsRefusedAsNotRun() {
		slowEngines();
		List<CompletableFuture<HttpReply>> answers = startAnswers(1);
		this.deployment.process("daemon-1").terminate();
		await().until(() -> {
			HttpReply reply = this.caller.complete(this.deployment.address("daemon-1"), "late", 1, false).join();
			return text(reply).contains("DRAINING") && text(reply).contains("\"not_run\":true");
		});
		assertThat(Caller.textOfStream(answers.get(0).join())).isEqualTo(expected(0));
	}

	@Test
	void aSecondSignalEndsTheProcessAtOnceAndTellsTheCallers() {
		slowEngines();
		List<CompletableFuture<HttpReply>> answers = startAnswers(2);
		this.deployment.process("daemon-1").terminate();
		await().until(() -> !isReady());
		this.deployment.process("daemon-1").terminate();
		assertThat(this.deployment.process("daemon-1").awaitExit(EXIT_SECONDS)).isZero();
		for (CompletableFuture<HttpReply> answer : answers) {
			assertThat(text(answer.join())).contains("DRAINING", "\"not_run\":false").doesNotContain("[DONE]");
		}
	}

	private void slowEngines() {
		for (String range : List.of("0-4", "4-8", "8-12")) {
			for (String kind : List.of("fast", "slow")) {
				this.deployment.fault(Deployment.engineName(range, kind), Map.of("mode", "SLOW", "forMillis", 600_000,
						"probability", 1.0, "delayMillis", 20, "method", "POST"));
			}
		}
	}

	private List<CompletableFuture<HttpReply>> startAnswers(int count) {
		List<CompletableFuture<HttpReply>> answers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			answers.add(this.caller.complete(this.deployment.address("daemon-1"), prompt(i), TOKENS, true));
		}
		await().until(() -> openRequests() == count);
		return answers;
	}

	private int openRequests() {
		String status = text(this.deployment.http()
			.send(HttpCall.get(this.deployment.adminAddress("daemon-1"), "/admin/status"))
			.join());
		return Integer.parseInt(status.replaceAll("(?s).*\"open_?[rR]equests\":(\\d+).*", "$1"));
	}

	private boolean isReady() {
		return this.deployment.http()
			.send(HttpCall.get(this.deployment.adminAddress("daemon-1"), "/ready"))
			.join()
			.isSuccess();
	}

	private static String prompt(int i) {
		return "Which tensile results of heat " + i + " are below the limit?";
	}

	private static String expected(int i) {
		return Caller.text(ReferenceModel.tokenize(prompt(i)), TOKENS);
	}

	private static String text(HttpReply reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

}
