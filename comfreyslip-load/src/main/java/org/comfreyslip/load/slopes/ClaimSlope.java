package org.comfreyslip.load.slopes;

import java.util.List;
import java.util.SplittableRandom;

import org.comfreyslip.clients.record.ClaimBatchCodec;
import org.comfreyslip.coordination.claim.ClaimBatch;
import org.comfreyslip.coordination.claim.ClaimFold;
import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.ClaimRecord;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.coordination.digest.Sha256;

/**
 * Reading and folding of claim and outcome of one call, with a recorded body of 96
 * characters. The fold keeps its size: each new key drops the oldest.
 */
final class ClaimSlope implements SlopeSubject {

	private static final long RETENTION_MILLIS = 3 * 3_600_000L;

	private static final long NOW = 1_700_000_000_000L;

	private static final String BODY = "eyJjZXJ0aWZpY2F0ZSI6IkMtMSJ9".repeat(4).substring(0, 96);

	private final SplittableRandom random = new SplittableRandom(1);

	private final ClaimFold fold;

	private long count;

	private long lastBytes;

	private ClaimSlope(int keys) {
		this.fold = new ClaimFold(IdempotencyKeyPolicy.withDefaults(RETENTION_MILLIS), keys);
		this.fold.updateLogBounds(0, Long.MAX_VALUE, NOW);
		for (int i = 0; i < keys; i++) {
			work();
		}
	}

	static ClaimSlope of(int keys) {
		return new ClaimSlope(keys);
	}

	@Override
	public Object work() {
		byte[] message = ClaimBatchCodec.encode(batch());
		this.lastBytes = message.length;
		this.fold.apply(this.count, ClaimBatchCodec.decode(message).orElseThrow());
		this.count++;
		return this.fold;
	}

	@Override
	public long messageBytes() {
		return this.lastBytes;
	}

	private ClaimBatch batch() {
		ClaimKey key = new ClaimKey("account-1", "archive",
				IdempotencyKeyPolicy.newKey(NOW + this.count / 1_000, this.random));
		String nonce = Long.toHexString(this.random.nextLong()) + Long.toHexString(this.random.nextLong());
		String digest = Sha256.ofText(nonce);
		return new ClaimBatch("daemon-1", this.count,
				List.of(new ClaimRecord.Claim(key, nonce, "daemon-1", digest, NOW), new ClaimRecord.Outcome(key, nonce,
						false, new RecordedResponse(200, "application/json", digest, BODY, true))));
	}

}
