package org.comfreyslip.clients.record;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.comfreyslip.coordination.claim.ClaimBatch;
import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.ClaimRecord;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against records that are lost or changed by encoding and decoding, and against
 * bytes in the log that are no record and make a decoder throw.
 */
class RecordCodecTests {

	private static final ClaimKey KEY = new ClaimKey("gate", "archive", "019123ab-0000-7000-8000-000000000001");

	@Test
	void aProposalReadsBackIntact() {
		ConfigRecord entry = ConfigRecord.Proposal.create("n1", ConfigVersion.INITIAL, "ada",
				"[comfreyslip]\nformat=1\n");
		assertThat(ConfigRecordCodec.decode(ConfigRecordCodec.encode(entry))).contains(entry);
		assertThat(ConfigRecordCodec.decode(ConfigRecordCodec.encode(entry)).get().isIntact(0)).isTrue();
	}

	@Test
	void aCheckpointReadsBack() {
		ConfigRecord entry = new ConfigRecord.Checkpoint(ConfigSnapshot.INITIAL);
		assertThat(ConfigRecordCodec.decode(ConfigRecordCodec.encode(entry))).contains(entry);
	}

	@Test
	void aClaimBatchReadsBackWithAllKindsOfRecords() {
		ClaimBatch batch = new ClaimBatch("d1", 7,
				List.of(new ClaimRecord.Claim(KEY, "n", "d1", "digest", 5),
						new ClaimRecord.Outcome(KEY, "n", false,
								new RecordedResponse(201, "text/plain", "x", "YQ==", true)),
						new ClaimRecord.Release(KEY, "m")));
		assertThat(ClaimBatchCodec.decode(ClaimBatchCodec.encode(batch))).contains(batch);
	}

	@Test
	void bytesThatAreNoRecordDecodeToEmpty() {
		for (String text : List.of("", "null", "{}", "[1]", "{\"type\":\"other\"}", "\u0000\u0001")) {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			assertThat(ConfigRecordCodec.decode(bytes)).as(text).isEmpty();
			assertThat(LeaseRecordCodec.decode(bytes)).as(text).isEmpty();
		}
	}

	@Test
	void aClaimWithoutItsKeyDecodesToEmpty() {
		byte[] bytes = "{\"writer\":\"w\",\"sequence\":1,\"records\":[{\"type\":\"claim\",\"nonce\":\"n\"}]}"
			.getBytes(StandardCharsets.UTF_8);
		assertThat(ClaimBatchCodec.decode(bytes)).isEmpty();
	}

}
