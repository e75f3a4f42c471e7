package org.comfreyslip.coordination.claim;

import java.util.ArrayList;
import java.util.List;

/**
 * In-memory log of one claim stream. Batches are trimmed by age.
 */
final class SimulatedClaimLog {

	private final List<Stored> stored = new ArrayList<>();

	private int head;

	void append(ClaimBatch batch, long nowMillis) {
		this.stored.add(new Stored(batch, nowMillis));
	}

	int trim(long minMillis) {
		int before = this.head;
		while (this.head < this.stored.size() && this.stored.get(this.head).appendedMillis() < minMillis) {
			this.head++;
		}
		return this.head - before;
	}

	int head() {
		return this.head;
	}

	int tail() {
		return this.stored.size();
	}

	ClaimBatch get(long offset) {
		return this.stored.get((int) offset).batch();
	}

	private record Stored(ClaimBatch batch, long appendedMillis) {

	}

}
