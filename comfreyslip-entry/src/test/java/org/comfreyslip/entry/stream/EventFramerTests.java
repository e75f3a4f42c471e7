package org.comfreyslip.entry.stream;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventFramer}. They guard against partial, repeated and reordered
 * events when a stream is resumed at another endpoint.
 */
class EventFramerTests {

	private final EventFramer framer = new EventFramer();

	private String add(String text) {
		return new String(this.framer.extractNewEvents(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
	}

	@Test
	void onlyCompleteEventsArePassedOn() {
		assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(this.framer.hasPartialEvent()).isTrue();
		assertThat(add("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		assertThat(this.framer.hasPartialEvent()).isFalse();
		assertThat(this.framer.lastEventId()).contains(2L);
	}

	@Test
	void aResumedStreamContinuesAfterTheLastCompleteEvent() {
		add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
		this.framer.dropPartialEvent();
		assertThat(add("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")).isEqualTo("id: 3\ndata: c\n\n");
	}

	@Test
	void linesMayEndWithCarriageReturnAndLineFeed() {
		assertThat(add("id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
		assertThat(this.framer.lastEventId()).contains(1L);
	}

	@Property(tries = 200)
	void theEventsDoNotDependOnHowTheBytesAreSplit(
			@ForAll @Size(max = 20) List<@IntRange(min = 1, max = 40) Integer> cuts) {
		StringBuilder all = new StringBuilder();
		for (int id = 1; id <= 12; id++) {
			all.append("id: ").append(id).append("\ndata: piece ").append(id * 31).append("\n\n");
		}
		EventFramer fresh = new EventFramer();
		StringBuilder seen = new StringBuilder();
		int from = 0;
		for (int cut : cuts) {
			int to = Math.min(all.length(), from + cut);
			seen.append(new String(fresh.extractNewEvents(all.substring(from, to).getBytes(StandardCharsets.UTF_8)),
					StandardCharsets.UTF_8));
			from = to;
		}
		seen.append(new String(fresh.extractNewEvents(all.substring(from).getBytes(StandardCharsets.UTF_8)),
				StandardCharsets.UTF_8));
		assertThat(seen.toString()).isEqualTo(all.toString());
	}

}
