package org.comfreyslip.coordination.claim;

import java.util.Map;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import net.jqwik.api.lifecycle.AfterContainer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second execution of a protected call, a call that runs although its
 * client was told that it did not, and requests without a response. The simulated faults
 * are lost log responses, delays, duplicates, pauses, crashes, retries and trimming.
 */
class ClaimRandomTests {

	private static final Map<String, Long> COUNTS = ClaimSimulation.newCounts();

	@AfterContainer
	static void everyFaultOccurred() {
		System.out.println("claim runs: " + COUNTS);
		assertThat(COUNTS).containsKeys("append repeated", "append takes effect late", "append refused",
				"daemon paused", "daemon paused beyond the retention", "daemon crashed and restarted",
				"trimmed before it was read", "first byte refused after send-by", "first byte refused after not run",
				"response lost", "record Release", "refused by service after send-by", "retry with an earlier key",
				"log outage", "queue full");
	}

	@Property(tries = 120, seed = "4172", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
	void noCallRunsTwiceOrAfterItsClientWasToldNotRun(@ForAll long seed) {
		new ClaimSimulation(seed, COUNTS).execute(1500);
	}

	// mvn -o -B -ntp verify -pl comfreyslip-coordination -am -Dtest.excludedGroups=
	// -Dtest=ClaimRandomTests -Dsurefire.failIfNoSpecifiedTests=false
	@Tag("long")
	@Property(tries = 600, seed = "90210", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
	void noCallRunsTwiceOrAfterItsClientWasToldNotRunInLongRuns(@ForAll long seed) {
		new ClaimSimulation(seed, COUNTS).execute(3000);
	}

}
