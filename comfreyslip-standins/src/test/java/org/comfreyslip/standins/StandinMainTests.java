package org.comfreyslip.standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against a program that starts something else than its arguments say.
 */
class StandinMainTests {

	private final StringWriter text = new StringWriter();

	private final PrintWriter out = new PrintWriter(this.text, true);

	@TempDir
	private Path directory;

	@Test
	void aFileStartsOneStandinPerLineAndPrintsTheirAddresses() throws IOException {
		Path file = Files.writeString(this.directory.resolve("standins"),
				"# a model in two parts\nengine --layers 0-4\n\nengine --layers 4-8\nlog\n");
		List<StandinServer> servers = StandinMain.run(List.of("all", file.toString()), this.out);
		try (HttpTransport http = new HttpTransport()) {
			assertThat(this.text.toString().lines()).containsExactly("engine " + servers.get(0).address(),
					"engine " + servers.get(1).address(), "log " + servers.get(2).address());
			String state = new String(http.send(HttpCall.get(servers.get(1).address(), "/v1/state")).join().body());
			assertThat(state).contains("\"firstLayer\":4");
		}
		finally {
			servers.forEach(StandinServer::close);
		}
	}

	@Test
	void helpAndVersionStartNothing() throws IOException {
		assertThat(StandinMain.run(List.of("engine", "--help"), this.out)).isEmpty();
		assertThat(this.text.toString()).contains("--layer-micros").doesNotContain("--retention-count");
		assertThat(StandinMain.run(List.of("--version"), this.out)).isEmpty();
		assertThat(this.text.toString()).contains("comfreyslip-standins");
	}

	@Test
	void anUnknownKindIsReportedWithTheKnownOnes() {
		assertThatIllegalArgumentException().isThrownBy(() -> StandinMain.run(List.of("daemon"), this.out))
			.withMessageContaining("engine, log, hosts, weights, service");
	}

}
