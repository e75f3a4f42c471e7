package org.comfreyslip.standins.engine;

import java.util.List;

import org.comfreyslip.platform.PlatformHttp;
import org.comfreyslip.platform.engine.EngineClient;
import org.comfreyslip.platform.engine.StepKind;
import org.comfreyslip.routing.topology.LayerRange;
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

	private static final int[] PROMPT = ReferenceModel.tokenize("which heat does certificate 4711 name");

	private final PlatformHttp http = new PlatformHttp();

	private StandinServer front;

	private StandinServer back;

	private EngineClient frontClient;

	private EngineClient backClient;

	@BeforeEach
	void startEngines() {
		this.front = StandinServer.start(StandinKind.ENGINE, "--layers", "0-3");
		this.back = StandinServer.start(StandinKind.ENGINE, "--layers", "3-8");
		this.frontClient = PipelineDriver.client(this.http, this.front);
		this.backClient = PipelineDriver.client(this.http, this.back);
	}

	@AfterEach
	void stopEngines() {
		this.http.close();
		this.front.close();
		this.back.close();
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

	private List<EngineClient> engines() {
		return List.of(this.frontClient, this.backClient);
	}

	private static List<LayerRange> ranges() {
		return List.of(FRONT, BACK);
	}

}
