package org.comfreyslip.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.comfreyslip.coordination.membership.EndpointNotification;
import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.coordination.membership.MemberReport;
import org.comfreyslip.coordination.membership.MembershipDelta;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The member table and the exchanges in progress.
 */
class PeerMembershipTests {

	private static final long SECOND = 1_000_000_000L;

	/** Guards against all daemons of a large deployment polling the log. */
	@Test
	void twoOfTwentyDaemonsReadTheLogUntilGossipIsSilent() {
		List<PeerMembership> tables = tables(20);
		assertThat(tables).filteredOn((table) -> table.isLogReader(SECOND)).hasSize(2);
		assertThat(tables).allMatch((table) -> table.isLogReader(10 * SECOND));
	}

	/**
	 * Guards against a small deployment in which no daemon reads the log after a failure.
	 */
	@Test
	void eachOfSixteenDaemonsReadsTheLog() {
		assertThat(tables(16)).allMatch((table) -> table.isLogReader(SECOND));
	}

	/** Guards against a notification that is lost with the reply that carried it. */
	@Test
	void anExchangeDuringWhichAReplyWasCreatedIsNotConfirmed() {
		PeerMembership table = membership("a");
		table.beginExchange("b", List.of()).orElseThrow();
		table.addNotification(new EndpointNotification("e", 1, 1));
		table.unconfirmedDeltaFor("b", List.of());
		table.endExchange("b", true);
		assertThat(MembershipDelta.decode(table.beginExchange("b", List.of()).orElseThrow()).notifications())
			.hasSize(1);
		table.endExchange("b", true);
		assertThat(MembershipDelta.decode(table.beginExchange("b", List.of()).orElseThrow()).notifications()).isEmpty();
	}

	/** Guards against two open exchanges whose replies are mistaken for each other. */
	@Test
	void onlyOneExchangeWithAPeerIsOpenAtATime() {
		PeerMembership table = membership("a");
		assertThat(table.beginExchange("b", List.of())).isPresent();
		assertThat(table.beginExchange("b", List.of())).isEmpty();
		table.endExchange("b", false);
		assertThat(table.beginExchange("b", List.of())).isPresent();
	}

	/** Guards against partitions of a deployment that never reconnect. */
	@Test
	void aConfiguredAddressThatNoMemberHasIsSelectedAgain() {
		SeedSelector seeds = new SeedSelector(Set.of("x", "y"), new Random(1), 0);
		assertThat(seeds.selectDue(Set.of("x"), 0)).contains("y");
		assertThat(seeds.selectDue(Set.of("x"), SECOND)).isEqualTo(Optional.empty());
		assertThat(seeds.selectDue(Set.of("x"), 5 * SECOND)).contains("y");
		assertThat(seeds.selectDue(Set.of("x", "y"), 10 * SECOND)).isEqualTo(Optional.empty());
		assertThat(seeds.selectDue(Set.of(), 15 * SECOND)).isPresent();
		assertThat(seeds.selectDue(Set.of(), 16 * SECOND)).isPresent();
	}

	private static List<PeerMembership> tables(int count) {
		List<MemberReport> reports = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			reports.add(new MemberReport(member("d" + i), 1, MemberReport.Phase.RUNNING, 0));
		}
		MembershipDelta all = new MembershipDelta("d0", List.of(), reports, List.of(), List.of(), List.of());
		List<PeerMembership> tables = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			PeerMembership table = membership("d" + i);
			table.merge(all, 0);
			tables.add(table);
		}
		return tables;
	}

	private static PeerMembership membership(String name) {
		return new PeerMembership(member(name), Set.of(), new Random(1), 0);
	}

	private static Member member(String name) {
		return new Member(name, 1, "127.0.0.1:1", "dc-1", "r");
	}

}
