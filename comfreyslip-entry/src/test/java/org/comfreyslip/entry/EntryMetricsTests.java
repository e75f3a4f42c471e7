package org.comfreyslip.entry;

import org.comfreyslip.entry.http.SendFailureCause;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EntryMetrics}. They guard against text that a metrics collector cannot
 * parse.
 */
class EntryMetricsTests {

	private final EntryMetrics metrics = new EntryMetrics();

	@Test
	void everyCounterIsWrittenFromTheStart() {
		assertThat(this.metrics.text()).contains("comfreyslip_served_total 0\n");
		this.metrics.increment(EntryMetrics.Count.SERVED);
		assertThat(this.metrics.text()).contains("comfreyslip_served_total 1\n");
	}

	@Test
	void brokenSendsAreCountedByCause() {
		this.metrics.countBrokenSend(SendFailureCause.WRITE_FAILED);
		assertThat(this.metrics.text()).contains("comfreyslip_sends_broken_total{cause=\"write_failed\"} 1\n",
				"comfreyslip_sends_broken_total{cause=\"closed\"} 0\n");
	}

	@Test
	void timesAreWrittenAsQuantilesWithACount() {
		for (int ms = 1; ms <= 100; ms++) {
			this.metrics.record(EntryMetrics.Time.FIRST_EVENT, ms);
		}
		this.metrics.record(EntryMetrics.Time.REQUEST, 1_000_000);
		assertThat(this.metrics.text()).contains("comfreyslip_first_event_ms{quantile=\"0.5\"} 50\n")
			.contains("comfreyslip_first_event_ms_count 100\n")
			.contains("comfreyslip_request_ms_count 1\n");
	}

}
