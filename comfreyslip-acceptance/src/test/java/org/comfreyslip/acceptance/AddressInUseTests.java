package org.comfreyslip.acceptance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.comfreyslip.daemon.DaemonMain;
import org.comfreyslip.standins.FreePorts;
import org.comfreyslip.standins.StandinMain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two processes with one address. Guards against listeners that share a port: each would
 * get a part of the connections, and a stamp that one of them recorded would be missing
 * at the other.
 */
class AddressInUseTests {

	private static final long EXIT_SECONDS = 60;

	@TempDir
	private Path directory;

	private Deployment deployment;

	@BeforeEach
	void start() {
		this.deployment = new Deployment(this.directory).start(1);
	}

	@AfterEach
	void stop() {
		this.deployment.close();
	}

	@Test
	void aSecondStandinAtTheSameAddressDoesNotStart() {
		String address = this.deployment.address("archive-1");
		try (JavaProcess second = JavaProcess.start(StandinMain.class, "service", "--listen", address)) {
			assertThat(second.awaitExit(EXIT_SECONDS)).isNotZero();
			assertThat(second.lines()).anyMatch((line) -> line.contains("cannot listen at " + address));
		}
	}

	@Test
	void aSecondDaemonAtTheSameAddressDoesNotStart() throws IOException {
		Path file = this.directory.resolve("second.ini");
		String settings = Files.readString(this.directory.resolve("daemon-1.ini"))
			.replace("name = daemon-1", "name = second")
			.replace(this.deployment.address("daemon-1/grpc"), "127.0.0.1:" + FreePorts.draw())
			.replace(this.deployment.adminAddress("daemon-1"), "127.0.0.1:" + FreePorts.draw());
		Files.writeString(file, settings);
		try (JavaProcess second = JavaProcess.start(DaemonMain.class, "--settings", file.toString())) {
			assertThat(second.awaitExit(EXIT_SECONDS)).isNotZero();
			assertThat(String.join("\n", second.lines())).contains(this.deployment.address("daemon-1"), "http-listen");
		}
	}

}
