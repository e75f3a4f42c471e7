package org.comfreyslip.settings;

import java.util.List;
import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.CallPattern;
import org.comfreyslip.routing.topology.FencingMode;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.LinkSpec;
import org.comfreyslip.routing.topology.Priority;
import org.comfreyslip.routing.topology.Topology;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against values that are lost or changed when an operators' text is converted to
 * the records of a topology.
 */
class OperatorTextTests {

	@Test
	void eachSectionBecomesARecordWithItsValues() {
		Topology topology = OperatorText.parse("ops.ini", SampleTexts.VALID);
		assertThat(topology.findModel("steel-7b").orElseThrow().adapters()).containsExactly("stamps", "heat-numbers");
		assertThat(topology.engines()).extracting("layers")
			.containsExactly(new LayerRange(0, 20), new LayerRange(20, 48));
		assertThat(topology.engines()).extracting("fencing").containsExactly(FencingMode.CHECKED, FencingMode.IGNORED);
		assertThat(topology.engines().get(1).address()).isEqualTo("[fd00::2]:9000");
		assertThat(topology.findService("archive").orElseThrow().protectedCalls())
			.containsExactly(new CallPattern("POST", "/stamps"), new CallPattern("PUT", "/stamps/*/state"));
		assertThat(topology.accounts())
			.containsExactly(new AccountSpec("mill", List.of(SampleTexts.DIGEST), 40, Priority.HIGH, 3));
		assertThat(topology.links()).containsExactly(new LinkSpec("si-a", "si-b", 10_000, 300));
	}

	@Test
	void missingOptionalKeysTakeTheDocumentedDefaults() {
		Topology topology = OperatorText.parse("ops.ini",
				SampleTexts.VALID.replace("priority = high\n", "").replace("weight = 3\n", ""));
		assertThat(topology.accounts().get(0).priority()).isEqualTo(Priority.NORMAL);
		assertThat(topology.accounts().get(0).weight()).isEqualTo(1);
		assertThat(topology.findService("index").orElseThrow().timeoutMillis()).isEqualTo(30_000);
		assertThat(topology.findService("index").orElseThrow().lookup()).isEqualTo(Optional.empty());
	}

	@Test
	void anInvalidTextIsRejectedWithAllItsFaults() {
		String text = SampleTexts.VALID.replace("layers = 0-20", "layers = 0-19")
			.replace("weight = 3", "weight = heavy");
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> OperatorText.parse("ops.ini", text))
			.matches((ex) -> ex.code() == ErrorCode.INVALID_SETTINGS)
			.withMessageContaining("ops.ini: [model steel-7b] layers")
			.withMessageContaining("ops.ini: [account mill] weight: found heavy");
	}

}
