package org.comfreyslip.entry.layers;

import java.util.List;

import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LayerCoverage}. They guard against log lines that name the wrong
 * layers as missing.
 */
class LayerCoverageTests {

	@Test
	void gapsAtBothEndsAndInTheMiddleAreNamed() {
		LayerCoverage coverage = new LayerCoverage(10, List.of(new LayerRange(2, 4), new LayerRange(6, 8)));
		assertThat(coverage.missing()).isEqualTo("0-2,4-6,8-10");
	}

	@Test
	void nothingIsMissingWhereRangesOverlapOrReachBeyondTheModel() {
		assertThat(new LayerCoverage(10, List.of(new LayerRange(0, 6), new LayerRange(5, 12))).missing()).isEmpty();
	}

	@Test
	void allLayersAreMissingWithoutRanges() {
		assertThat(new LayerCoverage(10, List.of()).missing()).isEqualTo("0-10");
	}

}
