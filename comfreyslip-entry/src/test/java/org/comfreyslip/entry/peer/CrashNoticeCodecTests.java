package org.comfreyslip.entry.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.comfreyslip.entry.blame.CrashNotice;
import org.comfreyslip.entry.blame.CrashReport;
import org.comfreyslip.entry.blame.SuspectRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests of the datagrams that tell other daemons of crashes.
 */
class CrashNoticeCodecTests {

	/** Largest content of a UDP datagram over IPv4, in bytes. */
	private static final int MAX_DATAGRAM_BYTES = 65_507;

	private static final CrashNotice NOTICE = new CrashNotice(
			List.of(new CrashReport("e1/5", 17,
					List.of(new SuspectRequest("r1", Set.of("a", "b")), new SuspectRequest("r2", Set.of("a"))))),
			Map.of("a", 3L), List.of(new CrashNotice.KnownCause(List.of("b", "c"), 1, 2)));

	@Test
	void aNoticeIsTheSameAfterItsWayThroughADatagram() {
		assertThat(CrashNoticeCodec.decode(CrashNoticeCodec.encode(NOTICE))).contains(NOTICE);
	}

	@Test
	void theLargestNoticeFitsInADatagram() {
		List<CrashReport> reports = new ArrayList<>();
		for (int crash = 0; crash < 40; crash++) {
			List<SuspectRequest> suspects = new ArrayList<>();
			for (int request = 0; request < 32; request++) {
				Set<String> traits = new HashSet<>();
				for (int trait = 0; trait < 32; trait++) {
					traits.add("service/part/" + crash + "-" + request + "-" + trait);
				}
				suspects.add(new SuspectRequest("0123456789abcdef" + crash + request, traits));
			}
			reports.add(new CrashReport("e" + crash, 0, suspects));
		}
		byte[] datagram = CrashNoticeCodec.encode(new CrashNotice(reports, Map.of(), List.of()));
		assertThat(datagram).hasSizeLessThanOrEqualTo(MAX_DATAGRAM_BYTES);
		assertThat(CrashNoticeCodec.decode(datagram).orElseThrow().reports().get(0).suspects()).hasSize(32);
	}

	@Test
	void bytesThatAreNoNoticeAreIgnored() {
		SplittableRandom random = new SplittableRandom(5);
		byte[] whole = CrashNoticeCodec.encode(NOTICE);
		for (int length = 0; length < whole.length; length++) {
			assertThat(CrashNoticeCodec.decode(Arrays.copyOf(whole, length))).isEmpty();
		}
		for (int round = 0; round < 20_000; round++) {
			byte[] changed = whole.clone();
			changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
			assertThatCode(() -> CrashNoticeCodec.decode(changed)).doesNotThrowAnyException();
		}
	}

}
