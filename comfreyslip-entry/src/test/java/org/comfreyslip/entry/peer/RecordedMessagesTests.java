package org.comfreyslip.entry.peer;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.comfreyslip.entry.blame.CrashNotice;
import org.comfreyslip.entry.blame.CrashReport;
import org.comfreyslip.entry.blame.SuspectRequest;
import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.TopicPosition;
import org.comfreyslip.entry.fleet.EndpointLimits.Statement;
import org.comfreyslip.entry.layers.LayerLoads.Load;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reads messages as daemons of earlier releases wrote them; the folders in
 * {@code recorded} are named after their commits. Guards against daemons that do not
 * understand each other while hosts are replaced one after the other.
 */
class RecordedMessagesTests {

	private static byte[] recorded(String release, String name) {
		String path = "/recorded/" + release + "/" + name + ".hex";
		try (InputStream in = RecordedMessagesTests.class.getResourceAsStream(path)) {
			return HexFormat.of().parseHex(new String(in.readAllBytes(), StandardCharsets.US_ASCII).strip());
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot read " + path, ex);
		}
	}

	private static PeerMessage message(boolean takesRelays, List<String> lostServices,
			Map<Integer, byte[]> extensions) {
		return new PeerMessage("entry-1", "north", 77, 5, new TopicPosition(12, 6, 3),
				Map.of("engine-1", new Load(9_000, 3, 1)), Map.of("engine-2", 4.5), List.of("engine-3"),
				Map.of("engine-4", new Statement(OptionalDouble.of(2.5), 300)), new TopicPosition(40, 8, 3), true,
				takesRelays, lostServices, extensions);
	}

	private static CrashNotice notice() {
		CrashReport report = new CrashReport("engine-1/1000", 2_000_000_000L,
				List.of(new SuspectRequest("r1", Set.of("model/part/p1"))));
		return new CrashNotice(List.of(report), Map.of("model/part/p2", 3_000_000_000L),
				List.of(new CrashNotice.KnownCause(List.of("model/part/p3"), 4_000_000_000L, 15_000_000_000L)));
	}

	@Test
	void aMessageOfTheReleaseBeforeTheLastIsReadWithoutWhatItDidNotTell() {
		assertThat(PeerMessage.decode(recorded("0e61c8b", "peer-message")))
			.contains(message(false, List.of(), Map.of()));
	}

	@Test
	void aMessageOfTheLastReleaseIsReadWithoutExtensions() {
		assertThat(PeerMessage.decode(recorded("fb4b864", "peer-message")))
			.contains(message(true, List.of("model"), Map.of()));
	}

	// Earlier releases ignore all bytes after the last component that they know.
	@ParameterizedTest
	@ValueSource(strings = { "0e61c8b", "fb4b864" })
	void aMessageOfTodayBeginsWithWhatAnEarlierReleaseReads(String release) {
		byte[] encoded = message(true, List.of("model"), Map.of(1, new byte[] { 1, 2 }, 3, new byte[40])).encode();
		assertThat(encoded).startsWith(recorded(release, "peer-message"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "0e61c8b", "fb4b864" })
	void crashNoticesAreTheSameInAllReleases(String release) {
		assertThat(CrashNoticeCodec.decode(recorded(release, "crash-notice"))).contains(notice());
		assertThat(CrashNoticeCodec.encode(notice())).isEqualTo(recorded(release, "crash-notice"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "0e61c8b", "fb4b864" })
	void relaysOfRegistrationsAreTheSameInAllReleases(String release) {
		byte[] bytes = recorded(release, "registration-relay");
		RegistrationRelay relay = RegistrationRelay.decode(bytes).orElseThrow();
		assertThat(relay.sender()).isEqualTo("entry-1");
		assertThat(relay.era()).isEqualTo(3);
		assertThat(relay.nearOutage()).isTrue();
		assertThat(relay.records()).extracting(KeyedRecord::offset).containsExactly(40L, 41L);
		assertThat(relay.records().get(0).value().orElseThrow()).containsExactly(1, 2, 3);
		assertThat(relay.records().get(1).value()).isEqualTo(Optional.empty());
		assertThat(relay.encode()).isEqualTo(bytes);
	}

}
