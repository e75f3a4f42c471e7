package org.comfreyslip.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

import org.comfreyslip.routing.topology.EndpointSpec;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.Topology;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against example files that the check rejects, which operators would copy.
 */
class ExampleTextsTests {

	private static final Path EXAMPLES = Path.of("..", "examples");

	@ParameterizedTest
	@CsvSource({ "kovacic.ini, archive", "racines-boreales.ini, registry" })
	void operatorTextsPassTheCheckAndContainAPipelineAndAProtectedService(String file, String service)
			throws IOException {
		String text = read(file);
		assertThat(OperatorTextChecker.check(file, text)).isEmpty();
		Topology topology = OperatorText.parse(file, text);
		assertThat(topology.engines()).hasSize(40)
			.extracting(EngineSpec::dataCentre)
			.containsAll(dataCentres(topology));
		assertThat(topology.engines()).anyMatch((engine) -> engine.layers().first() > 0);
		assertThat(dataCentres(topology)).hasSize(3);
		assertThat(topology.findService(service).orElseThrow().protectedCalls()).isNotEmpty();
		assertThat(new DependencyGraph(topology).startOrder()).isNotEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "kovacic-daemon.ini", "racines-boreales-daemon.ini" })
	void daemonSettingsPassTheCheck(String file) throws IOException {
		assertThat(DaemonSettings.check(file, read(file))).isEmpty();
	}

	private static Set<String> dataCentres(Topology topology) {
		return topology.endpoints().stream().map(EndpointSpec::dataCentre).collect(Collectors.toSet());
	}

	private static String read(String file) throws IOException {
		return IniDocument.decode(file, Files.readAllBytes(EXAMPLES.resolve(file)));
	}

}
