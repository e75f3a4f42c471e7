package org.comfreyslip.coordination;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a caller being told "not run" about a call that was sent, or sent later.
 */
class CallBoundaryTests {

	private final CallBoundary boundary = new CallBoundary();

	@Test
	void aRefusedRequestCannotBeSentAfterwards() {
		CodedException error = this.boundary.notRun(ErrorCode.OVERLOADED, "full", 100);
		assertThat(error.isNotRun()).isTrue();
		assertThat(this.boundary.tryOpen()).isFalse();
	}

	@Test
	void aSentRequestIsNeverReportedAsNotRun() {
		assertThat(this.boundary.tryOpen()).isTrue();
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> this.boundary.notRun(ErrorCode.OVERLOADED, "full", 100))
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

	@Test
	void aFailureAfterSendingMakesNoStatementOnWhetherItRan() {
		this.boundary.tryOpen();
		assertThat(this.boundary.failure(ErrorCode.ENDPOINT_FAILED, "reset", -1).isNotRun()).isFalse();
	}

	@Test
	void aFailureBeforeSendingClosesTheBoundary() {
		assertThat(this.boundary.failure(ErrorCode.NO_ENDPOINT, "none", -1).isNotRun()).isTrue();
		assertThat(this.boundary.tryOpen()).isFalse();
	}

}
