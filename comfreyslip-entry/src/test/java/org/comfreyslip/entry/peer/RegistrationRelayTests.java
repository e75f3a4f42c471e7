package org.comfreyslip.entry.peer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RegistrationRelay}. They guard against registrations that are lost or
 * changed on the way from the daemon that reads the store.
 */
class RegistrationRelayTests {

	private static List<KeyedRecord> records(long firstOffset, int... valueSizes) {
		List<KeyedRecord> records = new ArrayList<>();
		for (int size : valueSizes) {
			Optional<byte[]> value = (size >= 0) ? Optional.of("x".repeat(size).getBytes(StandardCharsets.UTF_8))
					: Optional.empty();
			records.add(new KeyedRecord("e" + records.size(), value, firstOffset + records.size()));
		}
		return records;
	}

	private static String describe(KeyedRecord keyed) {
		return keyed.key() + "@" + keyed.offset() + "=" + keyed.value().map(String::new).orElse("removed");
	}

	@Test
	void decodedRecordsEqualTheEncodedOnes() {
		List<KeyedRecord> sent = records(7, 300, -1, 0, 20);
		RegistrationRelay decoded = RegistrationRelay.decode(new RegistrationRelay("d", 3, true, sent).encode())
			.orElseThrow();
		assertThat(decoded.era()).isEqualTo(3);
		assertThat(decoded.nearOutage()).isTrue();
		assertThat(decoded.records().stream().map(RegistrationRelayTests::describe))
			.containsExactlyElementsOf(sent.stream().map(RegistrationRelayTests::describe).toList());
	}

	@Test
	void manyRecordsAreDistributedOverDatagramsInOrder() {
		int[] sizes = new int[216];
		Arrays.fill(sizes, 300);
		List<RegistrationRelay> relays = RegistrationRelay.split("d", 1, false, records(0, sizes));
		assertThat(relays).hasSizeGreaterThan(1)
			.allSatisfy((relay) -> assertThat(relay.encode().length).isLessThan(12_000));
		assertThat(relays.stream().flatMap((relay) -> relay.records().stream()).map(KeyedRecord::offset)).hasSize(216)
			.isSorted();
	}

	@Test
	void theRelayEndsBeforeARecordThatIsTooLarge() {
		List<RegistrationRelay> relays = RegistrationRelay.split("d", 1, false, records(0, 10, 100_000, 10));
		assertThat(relays).singleElement().satisfies((relay) -> assertThat(relay.records()).hasSize(1));
	}

	@Test
	void bytesThatAreNotARelayAreIgnored() {
		byte[] whole = new RegistrationRelay("d", 3, true, records(7, 300)).encode();
		assertThat(RegistrationRelay.decode(Arrays.copyOf(whole, whole.length - 3))).isEmpty();
		assertThat(RegistrationRelay.decode(new byte[] { 1, 2 })).isEmpty();
		assertThat(RegistrationRelay.decode(new byte[0])).isEmpty();
	}

}
