package org.comfreyslip.standins;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults that hit more or fewer requests than their order says.
 */
class FaultSwitchTests {

	private final AtomicLong now = new AtomicLong();

	private final FaultSwitch faults = new FaultSwitch(1, this.now::get);

	@Test
	void aFaultHitsOnlyItsMethodAndOnlyAsOftenAsOrdered() {
		this.faults.set(FaultOrder.next(FaultMode.RESET, "POST", 2));
		assertThat(this.faults.draw("GET")).isEqualTo(FaultMode.NONE);
		assertThat(this.faults.draw("POST")).isEqualTo(FaultMode.RESET);
		assertThat(this.faults.draw("POST")).isEqualTo(FaultMode.RESET);
		assertThat(this.faults.draw("POST")).isEqualTo(FaultMode.NONE);
	}

	@Test
	void aFaultEndsExactlyAtTheEndOfItsTime() {
		this.faults.set(new FaultOrder(FaultMode.DOWN, 10, 0, 0, null, 0));
		this.now.set(TimeUnit.MILLISECONDS.toNanos(10) - 1);
		assertThat(this.faults.draw("GET")).isEqualTo(FaultMode.DOWN);
		this.now.incrementAndGet();
		assertThat(this.faults.draw("GET")).isEqualTo(FaultMode.NONE);
	}

	@Test
	void aFaultWithAProbabilityHitsThatShareOfTheRequests() {
		this.faults.set(new FaultOrder(FaultMode.DOWN, 0, 0.25, 0, null, 0));
		long hits = IntStream.range(0, 10_000).filter((call) -> this.faults.draw("GET") == FaultMode.DOWN).count();
		assertThat(hits).isBetween(2_300L, 2_700L);
	}

	@Test
	void theSameSeedHitsTheSameRequests() {
		FaultSwitch other = new FaultSwitch(1, this.now::get);
		FaultOrder half = new FaultOrder(FaultMode.DOWN, 0, 0.5, 0, null, 0);
		this.faults.set(half);
		other.set(half);
		for (int call = 0; call < 100; call++) {
			assertThat(this.faults.draw("GET")).isEqualTo(other.draw("GET"));
		}
	}

	@Test
	void leavingAndSilentRefuseNoRequest() {
		this.faults.set(FaultOrder.of(FaultMode.LEAVING));
		assertThat(this.faults.draw("GET")).isEqualTo(FaultMode.NONE);
		assertThat(this.faults.isLeaving()).isTrue();
		this.faults.set(FaultOrder.of(FaultMode.SILENT));
		assertThat(this.faults.draw("GET")).isEqualTo(FaultMode.NONE);
		assertThat(this.faults.silentEpoch()).isEqualTo(1);
	}

}
