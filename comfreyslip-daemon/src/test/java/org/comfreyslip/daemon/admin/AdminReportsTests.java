package org.comfreyslip.daemon.admin;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.coordination.digest.Sha256;
import org.comfreyslip.daemon.DrainController;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.route.RoutingTables;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against admin responses that the operators' command cannot read, and against
 * reporting a configuration as in force that was accepted but could not be applied.
 */
class AdminReportsTests {

	private static final String TEXT = """
			[comfreyslip]
			format = 1
			[service archive]
			depends = index
			[service index]
			[endpoint a1]
			service = archive
			address = 127.0.0.1:9
			data-centre = dc
			""";

	private final ConfigHolder holder = new ConfigHolder();

	private final RoutingTables tables = new RoutingTables("dc", new Random(1));

	private final DrainController drain = new DrainController(10, 20);

	private final AdminReports reports = new AdminReports(
			new AdminServer.Parts("entry-1", this.holder, () -> true, this.drain, () -> this.drain.onShutdownSignal(0),
					this.tables, new RequestJournal(1), (id) -> CompletableFuture.completedFuture(Optional.empty()),
					new PrometheusMeterRegistry(PrometheusConfig.DEFAULT), () -> 0L));

	AdminReportsTests() {
		this.holder.addListener((config) -> this.tables.apply(config, 0));
	}

	@Test
	void theStatusHasTheJsonMembersThatTheOperatorCommandReads() {
		accept(1, TEXT);
		assertThat(json(this.reports.status())).startsWith("""
				{"name":"entry-1","state":"running","ready":true,"config":{"number":1,"offset":0,"digest":"%s"},\
				"config_format":1,"open_requests":0,"down_services":["index"],"endpoints":[{"name":"a1",\
				""".formatted(Sha256.ofText(TEXT)));
	}

	@Test
	void aTextThatCannotBeAppliedIsNotInForce() {
		accept(1, TEXT);
		accept(2, "[comfreyslip]\nformat = 9\n");
		assertThat(this.reports.status().config().number()).isEqualTo(1);
		assertThat(this.reports.status().ready()).isFalse();
		assertThat(this.reports.config().text()).isEqualTo(TEXT);
	}

	@Test
	void aDrainChangesTheStateAndTheReadinessInTheStatus() {
		accept(1, TEXT);
		this.drain.onShutdownSignal(0);
		assertThat(this.reports.status().state()).isEqualTo("announced");
		assertThat(this.reports.status().ready()).isFalse();
	}

	@Test
	void theImpactListsDependentsAndTheRootCause() {
		accept(1, TEXT);
		assertThat(json(this.reports.impact("index"))).isEqualTo("""
				{"service":"index","down":true,"dependents":["service archive"],"root_causes":["index"]}""");
		assertThat(this.reports.impact("archive").down()).isFalse();
		assertThat(this.reports.impact("archive").rootCauses()).containsExactly("index");
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.reports.impact("mail"))
			.satisfies((ex) -> assertThat(ex.code()).isEqualTo(ErrorCode.UNKNOWN_SERVICE));
	}

	@Test
	void beforeTheFirstConfigurationNothingIsInForce() {
		assertThat(this.reports.status().config().number()).isZero();
		assertThat(this.reports.status().ready()).isFalse();
		assertThatExceptionOfType(CodedException.class).isThrownBy(this.reports::config)
			.satisfies((ex) -> assertThat(ex.code()).isEqualTo(ErrorCode.NOT_READY));
	}

	private void accept(long number, String text) {
		this.holder.accept(
				new ConfigSnapshot(new ConfigVersion(number, number - 1, Sha256.ofText(text)), text, number - 1), "");
	}

	private static String json(Object report) {
		return new String(JsonCodec.write(report), StandardCharsets.UTF_8);
	}

}
