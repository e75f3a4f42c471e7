package org.comfreyslip.acceptance;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Answers in progress while engines are killed, hang, lose their connections or leave.
 * Guards against missing, doubled, foreign or reordered tokens after a recovery.
 */
class AnswerFailureTests {

	private static final int ANSWERS = 8;

	private static final int TOKENS = 150;

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
	void answersAreCompleteWhenAnEngineIsKilled() {
		List<CompletableFuture<HttpReply>> answers = startAnswers();
		this.deployment.process(Deployment.engineName("4-8", "fast")).kill();
		requireComplete(answers);
		assertThat(metric("comfreyslip_stages_lost_total")).isPositive();
	}

	@Test
	void answersAreCompleteWhenTwoEnginesAreKilledTogether() {
		List<CompletableFuture<HttpReply>> answers = startAnswers();
		this.deployment.process(Deployment.engineName("0-4", "fast")).kill();
		this.deployment.process(Deployment.engineName("8-12", "slow")).kill();
		requireComplete(answers);
	}

	@Test
	void answersAreCompleteWhenAnEngineHangsAndAnswersLate() {
		List<CompletableFuture<HttpReply>> answers = startAnswers();
		JavaProcess engine = this.deployment.process(Deployment.engineName("4-8", "fast"));
		engine.pause();
		await().until(() -> metric("comfreyslip_stages_lost_total") > 0);
		engine.resume();
		requireComplete(answers);
	}

	@Test
	void answersAreCompleteWhenConnectionsGoSilent() {
		List<CompletableFuture<HttpReply>> answers = startAnswers();
		this.deployment.fault(Deployment.engineName("8-12", "fast"), "SILENT", 60_000);
		requireComplete(answers);
	}

	@Test
	void aLeavingEngineGetsNoNewAnswers() {
		String leaving = Deployment.engineName("0-4", "fast");
		List<CompletableFuture<HttpReply>> answers = startAnswers();
		this.deployment.fault(leaving, "LEAVING", 120_000);
		requireComplete(answers);
		await()
			.until(() -> status().contains("\"name\":\"" + leaving + "\",\"group\":\"mill-qa\",\"state\":\"LEAVING\""));
		String before = steps(leaving);
		requireComplete(startAnswers());
		assertThat(steps(leaving)).isEqualTo(before);
	}

	private List<CompletableFuture<HttpReply>> startAnswers() {
		List<CompletableFuture<HttpReply>> answers = new ArrayList<>();
		double accepted = metric("comfreyslip_steps_sent_total");
		for (int i = 0; i < ANSWERS; i++) {
			answers.add(this.caller.complete(this.deployment.address("daemon-1"), prompt(i), TOKENS, i % 2 == 0));
		}
		await().until(() -> metric("comfreyslip_steps_sent_total") > accepted + ANSWERS * 4);
		return answers;
	}

	private void requireComplete(List<CompletableFuture<HttpReply>> answers) {
		for (int i = 0; i < answers.size(); i++) {
			HttpReply reply = answers.get(i).join();
			String text = (i % 2 == 0) ? Caller.textOfStream(reply) : Caller.textOf(reply);
			assertThat(text).as(new String(reply.body())).isEqualTo(expected(i));
		}
		assertThat(metric("comfreyslip_violations_total{promise=\"layers\"}")).isZero();
	}

	private String expected(int i) {
		return Caller.text(org.comfreyslip.standins.engine.ReferenceModel.tokenize(prompt(i)), TOKENS);
	}

	private static String prompt(int i) {
		return "Question " + i + " about heat " + (4700 + i) + ": which elements are out of range?";
	}

	private double metric(String name) {
		HttpReply reply = this.deployment.http()
			.send(HttpCall.get(this.deployment.adminAddress("daemon-1"), "/metrics"))
			.join();
		return new String(reply.body()).lines()
			.filter((line) -> line.startsWith(name + " "))
			.mapToDouble((line) -> Double.parseDouble(line.substring(name.length() + 1)))
			.findFirst()
			.orElse(0);
	}

	private String status() {
		return new String(this.deployment.http()
			.send(HttpCall.get(this.deployment.adminAddress("daemon-1"), "/admin/status"))
			.join()
			.body());
	}

	private String steps(String engine) {
		return new String(
				this.deployment.http().send(HttpCall.get(this.deployment.address(engine), "/v1/passes")).join().body());
	}

}
