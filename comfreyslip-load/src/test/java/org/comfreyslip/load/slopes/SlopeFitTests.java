package org.comfreyslip.load.slopes;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a wrong slope, from which the capacity page extrapolates, and against
 * subjects whose operation fails.
 */
class SlopeFitTests {

	@Test
	void pointsOnALineGiveSlopeAndIntercept() {
		SlopeFit fit = SlopeFit.of(List.of(point(1, 13), point(2, 16), point(10, 40)), SlopePoint::micros);
		assertThat(fit.slope()).isCloseTo(3, within(1e-9));
		assertThat(fit.intercept()).isCloseTo(10, within(1e-9));
	}

	@Test
	void everyProbeWorksAtItsSmallestSize() {
		assertThat(SlopeProbe.values()).allSatisfy((probe) -> {
			SlopeSubject subject = probe.create(probe.sizes().get(0));
			assertThat(subject.work()).isNotNull();
			assertThat(subject.messageBytes()).isNotNegative();
		});
	}

	private static SlopePoint point(int size, double micros) {
		return new SlopePoint(size, micros, 0, 0);
	}

}
