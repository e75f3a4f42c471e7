package org.comfreyslip.coordination;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against telling a client that its request was not run although the call was sent
 * or can still be sent.
 */
class CallBoundaryTests {

	private final CallBoundary boundary = new CallBoundary();

	@Test
	void aRequestReportedAsNotRunCannotBeSentAfterwards() {
		CodedException error = this.boundary.closeAsNotRun(ErrorCode.OVERLOADED, "full", 100);
		assertThat(error.isNotRun()).isTrue();
		assertThat(this.boundary.tryOpen()).isFalse();
	}

	@Test
	void aSentRequestIsNeverReportedAsNotRun() {
		assertThat(this.boundary.tryOpen()).isTrue();
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> this.boundary.closeAsNotRun(ErrorCode.OVERLOADED, "full", 100))
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

	@Test
	void aFailureAfterSendingDoesNotStateThatTheRequestWasNotRun() {
		this.boundary.tryOpen();
		assertThat(this.boundary.failCall(ErrorCode.ENDPOINT_FAILED, "reset", -1).isNotRun()).isFalse();
	}

	@Test
	void aFailureBeforeSendingClosesTheBoundary() {
		assertThat(this.boundary.failCall(ErrorCode.NO_ENDPOINT, "none", -1).isNotRun()).isTrue();
		assertThat(this.boundary.tryOpen()).isFalse();
	}

}
