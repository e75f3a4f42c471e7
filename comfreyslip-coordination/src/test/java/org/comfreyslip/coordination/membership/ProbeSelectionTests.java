package org.comfreyslip.coordination.membership;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against endpoints that no daemon probes, and against a number of probes per
 * endpoint that grows with the number of daemons.
 */
class ProbeSelectionTests {

	private static final int ENGINES = 200;

	private static final String ENGINE_DATA_CENTRE = "dc-1";

	@Test
	void aSmallDeploymentProbesFromEveryDaemon() {
		assertThat(probers(8, "engine-1")).hasSize(8);
	}

	@Test
	void twoDaemonsOfItsDataCentreProbeAnEngineInALargeDeployment() {
		for (int i = 0; i < ENGINES; i++) {
			List<Member> probers = probers(60, "engine-" + i);
			assertThat(probers).hasSize(2).allMatch((member) -> member.dataCentre().equals(ENGINE_DATA_CENTRE));
		}
	}

	private static List<Member> probers(int daemons, String engine) {
		List<Member> probers = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			if (ProbeSelection.isProber(engine, ENGINE_DATA_CENTRE, tableOf(i, daemons), 0)) {
				probers.add(member(i));
			}
		}
		return probers;
	}

	private static MemberTable tableOf(int self, int daemons) {
		MemberTable table = new MemberTable(member(self), 0);
		List<MemberReport> reports = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			if (i != self) {
				reports.add(new MemberReport(member(i), 1, MemberReport.Phase.RUNNING, 1));
			}
		}
		table.merge(new MembershipDelta("peer", List.of(), reports, List.of(), List.of(), List.of()), 0);
		return table;
	}

	private static Member member(int number) {
		return new Member("daemon-" + number, 1, "10.0.0." + number + ":7001", "dc-" + number % 3, "region");
	}

}
