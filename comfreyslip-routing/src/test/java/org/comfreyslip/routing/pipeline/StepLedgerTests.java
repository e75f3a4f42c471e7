package org.comfreyslip.routing.pipeline;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatNoException;

/**
 * Guards against skipped, repeated or reordered layers that the ledger does not detect.
 */
class StepLedgerTests {

	private final StepLedger ledger = new StepLedger("r", 4);

	@Test
	void layersInOrderCompleteAToken() {
		this.ledger.recordAcceptedPass(step(0, 0, 2));
		this.ledger.recordAcceptedPass(step(0, 2, 4));
		assertThatNoException().isThrownBy(() -> this.ledger.requireComplete(1));
	}

	@Test
	void aRepeatedLayerRangeIsRejected() {
		this.ledger.recordAcceptedPass(step(0, 0, 2));
		assertRejected(step(0, 0, 2));
	}

	@Test
	void aSkippedLayerRangeIsRejected() {
		assertRejected(step(0, 2, 4));
	}

	@Test
	void aSkippedPositionIsRejected() {
		this.ledger.recordAcceptedPass(step(0, 0, 4));
		assertRejected(step(2, 0, 4));
	}

	@Test
	void aRebuildStepIsNeverPartOfTheResponse() {
		assertRejected(new StepId("r", 1, 0, 1, new LayerRange(0, 4), StepKind.REBUILD_KEEP));
	}

	@Test
	void anUnfinishedTokenIsNotComplete() {
		this.ledger.recordAcceptedPass(step(0, 0, 2));
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.ledger.requireComplete(1));
	}

	private void assertRejected(StepId id) {
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.ledger.recordAcceptedPass(id))
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

	private static StepId step(int position, int first, int end) {
		return new StepId("r", 1, position, 1, new LayerRange(first, end), StepKind.DECODE);
	}

}
