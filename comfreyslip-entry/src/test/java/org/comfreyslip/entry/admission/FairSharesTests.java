package org.comfreyslip.entry.admission;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests for {@link FairShares}. They guard against small demands that are cut. */
class FairSharesTests {

	@Test
	void demandsBelowTheLevelAreMetWhole() {
		assertThat(FairShares.level(List.of(1.0, 9.0, 2.0), 0.5)).isEqualTo(3);
		assertThat(FairShares.level(List.of(4.0, 4.0), 0.5)).isEqualTo(2);
	}

	@Test
	void thereIsNoLevelWithoutDemand() {
		assertThat(FairShares.level(List.of(), 0.5)).isInfinite();
	}

}
