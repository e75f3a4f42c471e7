package org.comfreyslip.load.embedded;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong columns of the process files and of the collector's log.
 */
class ProcessUsageTests {

	@Test
	void processTimeIsUserPlusSystemTimeEvenIfTheNameHasSpaces() {
		String stat = "4711 (java (x) y) S 1 4711 4711 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 30 0 1 2 3";
		assertThat(ProcessUsage.cpuSeconds(stat)).isEqualTo(3.0);
	}

	@Test
	void residentMemoryIsReadInKilobytes() {
		assertThat(ProcessUsage.residentKilobytes(List.of("VmPeak:\t 9 kB", "VmRSS:\t  12345 kB"))).isEqualTo(12_345);
	}

	@Test
	void heapIsTheLeastAfterACollection() {
		assertThat(GcLine
			.leastHeapAfter(List.of("[1.2s][info][gc] GC(0) Pause Young (Allocation Failure) " + "40M->10M(154M) 3.2ms",
					"CS-1001 started", "[2.2s][info][gc] GC(1) Pause Full (System) " + "30M->8M(154M) 9.1ms",
					"[2.9s][info][gc] GC(2) Pause Young (Allocation Failure) 50M->12M(154M) 1ms")))
			.isEqualTo(8);
		assertThat(GcLine.leastHeapAfter(List.of("CS-1001 started"))).isEqualTo(-1);
	}

}
