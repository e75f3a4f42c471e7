package org.comfreyslip.standins.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.engine.BlockHash;
import org.comfreyslip.clients.engine.CacheEvent;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.EngineOrder;
import org.comfreyslip.clients.engine.KvCache;
import org.comfreyslip.clients.engine.OrderAction;
import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.clients.engine.TokenizeRequest;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.standins.Failures;
import org.comfreyslip.standins.FaultMode;
import org.comfreyslip.standins.FaultOrder;
import org.comfreyslip.standins.PipelineDriver;
import org.comfreyslip.standins.StandinKind;
import org.comfreyslip.standins.StandinServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against engines whose answers differ from the reference model or that accept
 * steps out of order.
 */
class EngineStandinTests {

	private static final LayerRange FRONT = new LayerRange(0, 3);

	private static final LayerRange BACK = new LayerRange(3, 8);

	private static final LayerRange WHOLE = new LayerRange(0, 8);

	private static final int[] PROMPT = ReferenceModel.tokenize("which heat does certificate 4711 name");

	private final HttpTransport http = new HttpTransport();

	private StandinServer front;

	private StandinServer back;

	private StandinServer spare;

	private EngineClient frontClient;

	private EngineClient backClient;

	@BeforeEach
	void startEngines() {
		this.front = StandinServer.start(StandinKind.ENGINE, "--layers", "0-3");
		this.back = StandinServer.start(StandinKind.ENGINE, "--layers", "3-8");
		this.spare = StandinServer.start(StandinKind.ENGINE, "--layers", "3-8");
		this.frontClient = PipelineDriver.client(this.http, this.front);
		this.backClient = PipelineDriver.client(this.http, this.back);
	}

	@AfterEach
	void stopEngines() {
		this.http.close();
		this.front.close();
		this.back.close();
		this.spare.close();
	}

	@Test
	void aResponseOverTwoStagesEqualsTheReferenceModel() {
		PipelineDriver driver = new PipelineDriver("a", PROMPT);
		driver.run(StepKind.PREFILL, engines(), ranges());
		for (int token = 1; token < 12; token++) {
			driver.run(StepKind.DECODE, engines(), ranges());
		}
		assertThat(driver.tokens()).isEqualTo(ReferenceModel.answer(8, PROMPT, 12));
	}

	@Test
	void aRepeatedStepReturnsTheStoredResultAndRunsOnce() {
		PipelineDriver driver = new PipelineDriver("a", PROMPT);
		StepRequest step = driver.first(StepKind.PREFILL, FRONT);
		StepReply first = driver.step(this.frontClient, step);
		StepReply repeated = driver.step(this.frontClient, step);
		assertThat(repeated.output()).isEqualTo(first.output());
		assertThat(passes(this.front)).hasSize(PROMPT.length).allMatch((pass) -> pass.runs() == 1);
	}

	@Test
	void aRepeatedStepJoinsTheOneThatStillRuns() {
		try (StandinServer slow = StandinServer.start(StandinKind.ENGINE, "--layer-micros", "50000")) {
			PipelineDriver driver = new PipelineDriver("a", PROMPT);
			StepRequest step = driver.first(StepKind.PREFILL, WHOLE);
			EngineClient client = PipelineDriver.client(this.http, slow);
			CompletableFuture<StepReply> first = client.step(step, 10_000);
			CompletableFuture<StepReply> second = client.step(step, 10_000);
			assertThat(second.join().token()).isEqualTo(first.join().token());
			assertThat(passes(slow)).allMatch((pass) -> pass.runs() == 1);
		}
	}

	@Test
	void aStepOfAnOlderAttemptIsRefused() {
		PipelineDriver driver = new PipelineDriver("a", PROMPT);
		StepRequest old = driver.first(StepKind.PREFILL, FRONT);
		driver.nextAttempt();
		driver.step(this.frontClient, driver.first(StepKind.PREFILL, FRONT));
		assertThat(code(this.frontClient.step(old, 1_000))).isEqualTo(ErrorCode.STALE_ATTEMPT);
	}

	@Test
	void aStepAfterItsAttemptWasCancelledIsRefusedAndItsMemoryIsFree() {
		PipelineDriver driver = new PipelineDriver("a", PROMPT);
		StepRequest step = driver.first(StepKind.PREFILL, FRONT);
		driver.step(this.frontClient, step);
		long held = this.frontClient.load().join().kvFree();
		this.frontClient.cancel("a", 1).join();
		assertThat(this.frontClient.load().join().kvFree()).isEqualTo(held + PROMPT.length);
		assertThat(code(this.frontClient.step(step, 1_000))).isEqualTo(ErrorCode.STALE_ATTEMPT);
	}

	@Test
	void aCancelOfAnOlderAttemptLeavesTheNewerOneAlone() {
		PipelineDriver driver = new PipelineDriver("a", PROMPT);
		driver.nextAttempt();
		StepRequest step = driver.first(StepKind.PREFILL, FRONT);
		StepReply reply = driver.step(this.frontClient, step);
		this.frontClient.cancel("a", 1).join();
		assertThat(driver.step(this.frontClient, step).output()).isEqualTo(reply.output());
	}

	@Test
	void aDecodeStepWithoutItsCacheIsRefusedWithThePosition() {
		PipelineDriver driver = started("a");
		StepRequest next = driver.first(StepKind.DECODE, FRONT);
		this.frontClient.cancel("a", 1).join();
		driver.nextAttempt();
		CodedException failure = failure(this.frontClient.step(driver.first(StepKind.DECODE, FRONT), 1_000));
		assertThat(failure.code()).isEqualTo(ErrorCode.KV_MISSING);
		assertThat(failure).hasMessageContaining("position " + next.position());
	}

	@Test
	void aPositionThatWasPassedBeforeIsRefusedWithThePosition() {
		PipelineDriver driver = started("a");
		StepRequest next = driver.first(StepKind.DECODE, FRONT);
		driver.step(this.frontClient, next);
		driver.nextAttempt();
		CodedException failure = failure(this.frontClient.step(driver.first(StepKind.DECODE, FRONT), 1_000));
		assertThat(failure.code()).isEqualTo(ErrorCode.BAD_REQUEST);
		assertThat(failure).hasMessageContaining("position " + next.position() + " was already passed");
	}

	@Test
	void aResponseGoesOnUnchangedAfterAStageWasRebuiltElsewhere() {
		PipelineDriver driver = started("a");
		EngineClient replacement = PipelineDriver.client(this.http, this.spare);
		driver.nextAttempt();
		StepRequest discard = driver.first(StepKind.REBUILD_DISCARD, FRONT);
		StepReply front = driver.step(this.frontClient, discard);
		StepReply rebuilt = driver.step(replacement, driver.next(discard, front, StepKind.REBUILD_KEEP, BACK));
		assertThat(rebuilt.token()).isNull();
		for (int token = 3; token < 9; token++) {
			driver.run(StepKind.DECODE, List.of(this.frontClient, replacement), ranges());
		}
		assertThat(driver.tokens()).isEqualTo(ReferenceModel.answer(8, PROMPT, 9));
		assertThat(passes(this.front)).filteredOn((pass) -> !pass.kind().isRebuild())
			.allMatch((pass) -> pass.runs() == 1);
	}

	@Test
	void aResponseGoesOnUnchangedAfterItsCacheWasImportedElsewhere() {
		PipelineDriver driver = started("a");
		EngineClient replacement = PipelineDriver.client(this.http, this.spare);
		KvCache cache = this.backClient.exportKv("a").join();
		assertThat(cache.positions()).isEqualTo(driver.passed().length);
		replacement.importKv("a", cache).join();
		for (int token = 3; token < 9; token++) {
			driver.run(StepKind.DECODE, List.of(this.frontClient, replacement), ranges());
		}
		assertThat(driver.tokens()).isEqualTo(ReferenceModel.answer(8, PROMPT, 9));
	}

	@Test
	void anExportOfAnUnknownStreamIsRefused() {
		assertThat(code(this.frontClient.exportKv("unknown"))).isEqualTo(ErrorCode.KV_MISSING);
	}

	@Test
	void aStreamThatDoesNotFitIntoTheMemoryIsRefused() {
		try (StandinServer small = StandinServer.start(StandinKind.ENGINE, "--kv-positions", "4")) {
			PipelineDriver driver = new PipelineDriver("a", PROMPT);
			EngineClient client = PipelineDriver.client(this.http, small);
			assertThat(code(client.step(driver.first(StepKind.PREFILL, WHOLE), 1_000))).isEqualTo(ErrorCode.OVERLOADED);
		}
	}

	@Test
	void aRepeatedPromptIsReportedAsCachedAndItsBlocksAsEvents() {
		int[] prompt = new int[2 * BlockHash.BLOCK_TOKENS + 1];
		StepReply first = prefill("a", prompt);
		StepReply second = prefill("b", prompt);
		assertThat(first.cachedPositions()).isZero();
		assertThat(second.cachedPositions()).isEqualTo(2 * BlockHash.BLOCK_TOKENS);
		assertThat(this.frontClient.cacheEvents(0).join().events()).extracting(CacheEvent::blockHash)
			.containsExactly(BlockHash.of(prompt)[0], BlockHash.of(prompt)[1]);
	}

	@Test
	void lostCacheEventsLeaveAGapInTheirNumbers() {
		try (StandinServer gaps = StandinServer.start(StandinKind.ENGINE, "--cache-event-gap", "2")) {
			EngineClient client = PipelineDriver.client(this.http, gaps);
			PipelineDriver driver = new PipelineDriver("a", new int[3 * BlockHash.BLOCK_TOKENS]);
			driver.step(client, driver.first(StepKind.PREFILL, WHOLE));
			assertThat(client.cacheEvents(0).join().events()).extracting(CacheEvent::number).containsExactly(0L, 2L);
		}
	}

	@Test
	void anOrderWithAnOldFencingNumberIsRefusedWhereNumbersAreChecked() {
		this.frontClient.order(role(7, "prefill")).join();
		assertThat(code(this.frontClient.order(role(6, "decode")))).isEqualTo(ErrorCode.STALE_FENCE);
		assertThat(this.frontClient.state().join().role()).isEqualTo("prefill");
	}

	@Test
	void anOrderWithAnOldFencingNumberTakesEffectWhereNumbersAreIgnored() {
		try (StandinServer lax = StandinServer.start(StandinKind.ENGINE, "--ignore-fencing")) {
			EngineClient client = PipelineDriver.client(this.http, lax);
			client.order(role(7, "prefill")).join();
			assertThat(client.order(role(6, "decode")).join().role()).isEqualTo("decode");
		}
	}

	@Test
	void aStepForAnUnloadedModelIsRefused() {
		EngineOrder unload = new EngineOrder(1, OrderAction.UNLOAD_MODEL, null, null, null, 0, 0, null);
		assertThat(this.frontClient.order(unload).join().model()).isNull();
		StepRequest step = new PipelineDriver("a", PROMPT).first(StepKind.PREFILL, FRONT);
		assertThat(code(this.frontClient.step(step, 1_000))).isEqualTo(ErrorCode.UNKNOWN_MODEL);
	}

	@Test
	void aLeavingEngineSaysSoInItsLoadAndItsAnswers() {
		this.front.fault(FaultOrder.of(FaultMode.LEAVING));
		assertThat(this.frontClient.load().join().leaving()).isTrue();
		assertThat(prefill("a", PROMPT).load().leaving()).isTrue();
	}

	@Test
	void theTextOfATokenIsTokenizedToTheSameToken() {
		TokenizeRequest request = new TokenizeRequest("reference",
				ReferenceModel.text(17) + ReferenceModel.text(31_999));
		assertThat(this.frontClient.tokenize(request).join().tokens()).containsExactly(17, 31_999);
	}

	private PipelineDriver started(String stream) {
		PipelineDriver driver = new PipelineDriver(stream, PROMPT);
		driver.run(StepKind.PREFILL, engines(), ranges());
		driver.run(StepKind.DECODE, engines(), ranges());
		driver.run(StepKind.DECODE, engines(), ranges());
		return driver;
	}

	private StepReply prefill(String stream, int[] prompt) {
		PipelineDriver driver = new PipelineDriver(stream, prompt);
		return driver.step(this.frontClient, driver.first(StepKind.PREFILL, FRONT));
	}

	private List<PassCount> passes(StandinServer server) {
		return this.http.send(HttpCall.get(server.address(), "/v1/passes?stream=a"))
			.join()
			.json(PassCounts.class)
			.passes();
	}

	private List<EngineClient> engines() {
		return List.of(this.frontClient, this.backClient);
	}

	private static EngineOrder role(long fencingNumber, String role) {
		return new EngineOrder(fencingNumber, OrderAction.SET_ROLE, null, null, null, 0, 0, role);
	}

	private static ErrorCode code(CompletableFuture<?> future) {
		return failure(future).code();
	}

	private static CodedException failure(CompletableFuture<?> future) {
		return Failures.of(future);
	}

	private static List<LayerRange> ranges() {
		return List.of(FRONT, BACK);
	}

}
