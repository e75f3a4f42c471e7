package org.comfreyslip.entry.http;

import java.util.List;

import org.comfreyslip.entry.fleet.EndpointLimits.LimitState;
import org.comfreyslip.entry.fleet.EndpointLimits.Source;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointLimitMetrics}.
 */
class EndpointLimitMetricsTests {

	@Test
	void eachLimitIsWrittenWithItsSourceAgePartAndCounts() {
		String text = EndpointLimitMetrics.text(List.of(new LimitState("e", 2.5, Source.PEER, 300, 1.25, 7, 9)));
		assertThat(text.lines()).containsExactly("comfreyslip_endpoint_limit{endpoint=\"e\"} 2.5",
				"comfreyslip_endpoint_limit_age_ms{endpoint=\"e\"} 300",
				"comfreyslip_endpoint_limit_from_peer{endpoint=\"e\"} 1",
				"comfreyslip_endpoint_limit_part{endpoint=\"e\"} 1.25",
				"comfreyslip_endpoint_limit_sent_total{endpoint=\"e\"} 7",
				"comfreyslip_endpoint_limit_held_back_total{endpoint=\"e\"} 9");
	}

	@Test
	void nothingIsWrittenWithoutLimits() {
		assertThat(EndpointLimitMetrics.text(List.of())).isEmpty();
	}

}
