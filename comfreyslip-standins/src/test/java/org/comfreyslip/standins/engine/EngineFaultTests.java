package org.comfreyslip.standins.engine;

import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.standins.Failures;
import org.comfreyslip.standins.FaultMode;
import org.comfreyslip.standins.FaultOrder;
import org.comfreyslip.standins.PipelineDriver;
import org.comfreyslip.standins.StandinKind;
import org.comfreyslip.standins.StandinServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a step that runs twice or not at all after a fault of its engine.
 */
class EngineFaultTests {

	private static final int SHORT_LIMIT_MILLIS = 2_000;

	private static final int LIMIT_MILLIS = 10_000;

	private static final int[] PROMPT = { 3, 1, 4, 1, 5 };

	private final HttpTransport http = new HttpTransport();

	private final StandinServer server = StandinServer.start(StandinKind.ENGINE);

	private final EngineClient client = PipelineDriver.client(this.http, this.server);

	private final StepRequest step = new PipelineDriver("a", PROMPT).first(StepKind.PREFILL, new LayerRange(0, 8));

	@AfterEach
	void stopServer() {
		this.http.close();
		this.server.close();
	}

	@Test
	void aStepWhoseAnswerWasLostReturnsItsStoredResultWhenRepeated() {
		this.server.fault(FaultOrder.next(FaultMode.LOST_ANSWER, "POST", 1));
		assertThat(sent(this.client.step(this.step, LIMIT_MILLIS))).isTrue();
		assertThatRepeatGivesTheToken();
		assertThat(runs()).isEqualTo(1);
	}

	@Test
	void aStepOnAConnectionThatIsResetDidNotRun() {
		this.server.fault(FaultOrder.next(FaultMode.RESET, "POST", 1));
		assertThat(sent(this.client.step(this.step, LIMIT_MILLIS))).isTrue();
		assertThat(runs()).isZero();
		assertThatRepeatGivesTheToken();
	}

	@Test
	void aStepToAnEngineThatIsDownIsRefusedAndDidNotRun() {
		this.server.fault(FaultOrder.next(FaultMode.DOWN, "POST", 1));
		assertThat(Failures.of(this.client.step(this.step, LIMIT_MILLIS)).code()).isEqualTo(ErrorCode.OVERLOADED);
		assertThat(runs()).isZero();
	}

	@Test
	void aStepToAnEngineThatHangsFailsAtItsTimeLimit() {
		this.client.load().join();
		this.server.fault(FaultOrder.next(FaultMode.HANG, "POST", 1));
		assertThat(sent(this.client.step(this.step, SHORT_LIMIT_MILLIS))).isTrue();
		assertThat(runs()).isZero();
	}

	@Test
	void aStepOnASilentConnectionFailsWhileANewConnectionAnswers() {
		this.client.load().join();
		this.server.fault(FaultOrder.of(FaultMode.SILENT));
		assertThat(sent(this.client.step(this.step, SHORT_LIMIT_MILLIS))).isTrue();
		assertThatRepeatGivesTheToken();
		assertThat(runs()).isEqualTo(1);
	}

	@Test
	void aStepToASlowEngineStillGivesTheToken() {
		this.server.fault(FaultOrder.slow(50));
		assertThatRepeatGivesTheToken();
	}

	@Test
	void aLeavingEngineStillRunsSteps() {
		this.server.fault(FaultOrder.of(FaultMode.LEAVING));
		assertThatRepeatGivesTheToken();
	}

	@Test
	void anEngineThatWasStoppedIsNotReachedAndAnswersAfterItsRestart() {
		this.server.stop();
		assertThat(sent(this.client.step(this.step, LIMIT_MILLIS))).isFalse();
		this.server.start();
		assertThatRepeatGivesTheToken();
	}

	private void assertThatRepeatGivesTheToken() {
		StepReply reply = this.client.step(this.step, LIMIT_MILLIS).join();
		assertThat(reply.token().id()).isEqualTo(ReferenceModel.answer(8, PROMPT, 1)[0]);
	}

	private int runs() {
		return this.http.send(HttpCall.get(this.server.address(), "/v1/passes?stream=a"))
			.join()
			.json(PassCounts.class)
			.passes()
			.stream()
			.mapToInt(PassCount::runs)
			.max()
			.orElse(0);
	}

	private static boolean sent(CompletableFuture<?> call) {
		return ((CallFailedException) Failures.of(call)).mayHaveBeenSent();
	}

}
