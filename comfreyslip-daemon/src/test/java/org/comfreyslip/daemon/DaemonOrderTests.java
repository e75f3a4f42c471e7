package org.comfreyslip.daemon;

import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.EngineState;
import org.comfreyslip.standins.StandinKind;
import org.comfreyslip.standins.StandinServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Orders that the holder of the maintenance lease sends to engine stand-ins.
 */
class DaemonOrderTests {

	private final DaemonGroup group = new DaemonGroup();

	private final HttpTransport http = new HttpTransport();

	private final StandinServer first = engine();

	private final StandinServer second = engine();

	@AfterEach
	void close() {
		this.group.close();
		this.first.close();
		this.second.close();
		this.http.close();
	}

	/** Guards against engines that keep an old version or lack an adapter. */
	@Test
	void enginesGetTheConfiguredVersionAndAdapterUnderTheLease() {
		this.group.start("d1");
		this.group.propose(DaemonGroup.configText(2, this.first.address(), this.second.address()));
		DaemonGroup.await().until(() -> isAsConfigured(this.first) && isAsConfigured(this.second));
		assertThat(state(this.first).fencingNumber()).isEqualTo(0);
	}

	/**
	 * Guards against a load order that makes the only engine of a layer range
	 * unavailable.
	 */
	@Test
	void theOnlyEngineOfARangeKeepsItsVersion() {
		this.group.start("d1");
		this.group.propose(DaemonGroup.configText(2, this.first.address()));
		DaemonGroup.await().until(() -> state(this.first).adapters().contains("stamps"));
		assertThat(state(this.first).version()).isEqualTo("1");
	}

	private boolean isAsConfigured(StandinServer engine) {
		EngineState state = state(engine);
		return state.version().equals("2") && state.adapters().contains("stamps");
	}

	private EngineState state(StandinServer engine) {
		return new EngineClient(this.http, engine.address(), 5_000).state().join();
	}

	private static StandinServer engine() {
		return StandinServer.start(StandinKind.ENGINE, "--model", "mill-qa", "--model-version", "1", "--model-layers",
				"4", "--layers", "0-4");
	}

}
