package org.comfreyslip.settings;

import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a daemon that starts with other settings than its file states, because a
 * value was misread or a faulty line was accepted.
 */
class DaemonSettingsTests {

	private static final String MINIMAL = """
			[daemon]
			name = d1
			data-centre = si-a
			region = si-central
			http-listen = 127.0.0.1:0
			grpc-listen = 10.0.0.1:7001
			admin-listen = [::1]:7002

			[platform]
			log = 10.0.1.1:80
			host-list = 10.0.1.2:80
			weight-store = 10.0.1.3:80
			""";

	@Test
	void missingOptionalKeysTakeTheDocumentedDefaults() {
		DaemonSettings settings = DaemonSettings.parse("d1.ini", MINIMAL);
		assertThat(settings.daemon().balancerLagMillis()).isEqualTo(5_000);
		assertThat(settings.daemon().drainDeadlineMillis()).isEqualTo(600_000);
		assertThat(settings.daemon().peers()).isEmpty();
		assertThat(settings.daemon().adminListen()).isEqualTo("[::1]:7002");
		assertThat(settings.platform())
			.isEqualTo(new PlatformSection("10.0.1.1:80", "10.0.1.2:80", "10.0.1.3:80", 10_800_000));
		assertThat(settings.tls()).isEqualTo(Optional.empty());
	}

	@Test
	void valuesOfOptionalKeysAndSectionsReplaceTheDefaults() {
		DaemonSettings settings = DaemonSettings.parse("d1.ini",
				MINIMAL.replace("[platform]",
						"peers = 10.0.0.2:7001, [fd00::3]:7001\nbalancer-lag-ms = 0\ndrain-deadline-ms = 9\n[platform]")
						+ "[tls]\ncertificate = a.pem\nkey = b.pem\nauthorities = c.pem\n");
		assertThat(settings.daemon().peers()).containsExactly("10.0.0.2:7001", "[fd00::3]:7001");
		assertThat(settings.daemon().balancerLagMillis()).isZero();
		assertThat(settings.daemon().drainDeadlineMillis()).isEqualTo(9);
		assertThat(settings.tls()).contains(new TlsSection("a.pem", "b.pem", "c.pem"));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			name = d1       | name = d 1            | [daemon] name
			log = 10.0.1.1  | log = log.local       | [platform] log
			log = 10.0.1.1  | logs = 10.0.1.1       | [platform] logs
			region = si-central | balancer-lag-ms = 5s | [daemon] balancer-lag-ms
			log = 10.0.1.1  | log-retention-ms = 9999 | [platform] log-retention-ms
			region = si-central | peers = 10.0.0.2  | [daemon] peers
			region = si-central | #                 | [daemon] region: found no value
			[platform]      | [tls]\\nkey = a\\n[platform] | [tls] certificate
			[platform]      | [daemon]              | [daemon]: found a second section
			[platform]      | [platforms]           | [platform]: found no such section
			""")
	void faultsNameTheirFileSectionAndKey(String valid, String faulty, String message) {
		String text = MINIMAL.replace(valid, faulty.replace("\\n", "\n"));
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> DaemonSettings.parse("d1.ini", text))
			.withMessageContaining("d1.ini: " + message);
		assertThat(DaemonSettings.check("d1.ini", text)).isNotEmpty();
	}

}
