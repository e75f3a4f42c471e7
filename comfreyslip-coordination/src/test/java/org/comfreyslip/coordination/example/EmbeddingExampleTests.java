package org.comfreyslip.coordination.example;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.coordination.config.ConfigFold;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVerdict;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The example of {@code docs/embedding.md}: a program that embeds the library with its
 * own log, to which two authors concurrently append proposals on the same version. Guards
 * against changes of the API that make the example on the page invalid.
 */
class EmbeddingExampleTests {

	/** Represents any append-only log; the index of a record is its offset. */
	private final List<ConfigRecord> log = new ArrayList<>();

	@Test
	void everyReaderReachesTheSameVerdict() {
		this.log.add(ConfigRecord.Proposal.create("n1", ConfigVersion.INITIAL, "ada", "limit = 10"));
		this.log.add(ConfigRecord.Proposal.create("n2", ConfigVersion.INITIAL, "ben", "limit = 20"));
		ConfigFold first = new ConfigFold(ConfigSnapshot.INITIAL);
		ConfigFold second = new ConfigFold(ConfigSnapshot.INITIAL);
		List<ConfigVerdict> verdicts = readAll(first);
		assertThat(readAll(second)).isEqualTo(verdicts);
		assertThat(verdicts.get(0)).isInstanceOf(ConfigVerdict.Accepted.class);
		assertThat(verdicts.get(1)).isInstanceOfSatisfying(ConfigVerdict.Refused.class,
				(refused) -> assertThat(refused.winner().author()).isEqualTo("ada"));
		assertThat(first.snapshot().text()).isEqualTo("limit = 10");
	}

	private List<ConfigVerdict> readAll(ConfigFold fold) {
		List<ConfigVerdict> verdicts = new ArrayList<>();
		for (int offset = 0; offset < this.log.size(); offset++) {
			verdicts.add(fold.apply(offset, this.log.get(offset)));
		}
		return verdicts;
	}

}
