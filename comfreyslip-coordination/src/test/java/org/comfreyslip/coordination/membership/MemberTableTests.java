package org.comfreyslip.coordination.membership;

import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.membership.MemberReport.Phase;
import org.comfreyslip.coordination.ranking.RendezvousRanking;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against live members that are taken for dead, and against dead members that are
 * still listed.
 */
class MemberTableTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final MemberTable a = new MemberTable(member("a", 1), 0);

	private final MemberTable b = new MemberTable(member("b", 1), 0);

	@Test
	void aSilentMemberBecomesSuspectThenDeadThenRemoved() {
		exchange(this.b, this.a, 0);
		assertThat(stateAfter(4)).isEqualTo(MemberState.ALIVE);
		assertThat(stateAfter(5)).isEqualTo(MemberState.SUSPECT);
		assertThat(stateAfter(10)).isEqualTo(MemberState.DEAD);
		assertThat(stateAfter(60)).isEqualTo(MemberState.REMOVED);
	}

	@Test
	void aRemovedMemberIsNotAddedAgainByAnOldReport() {
		exchange(this.b, this.a, 0);
		MembershipDelta old = this.b.deltaFor("a", List.of());
		for (int second = 1; second <= 61; second++) {
			this.a.tick(second * SECOND_NANOS, 0);
		}
		this.a.merge(
				new MembershipDelta("c", List.of(), List.of(this.b.self()), old.heartbeats(), List.of(), List.of()),
				61 * SECOND_NANOS);
		assertThat(this.a.state("b", 61 * SECOND_NANOS)).isEqualTo(MemberState.REMOVED);
	}

	@Test
	void aPauseOfThisProcessDoesNotCountAsSilenceOfOthers() {
		exchange(this.b, this.a, 0);
		this.a.tick(30 * SECOND_NANOS, 0);
		assertThat(this.a.state("b", 30 * SECOND_NANOS)).isEqualTo(MemberState.ALIVE);
	}

	@Test
	void aConfirmedExchangeLeavesOnlyHeartbeatsToSend() {
		exchange(this.a, this.b, 0);
		this.a.tick(SECOND_NANOS, 0);
		MembershipDelta delta = MembershipDelta.decode(this.a.deltaFor("b", List.of()).encode());
		assertThat(delta.reports()).isEmpty();
		assertThat(delta.heartbeats()).hasSize(1);
	}

	@Test
	void anUnconfirmedExchangeIsSentAgain() {
		this.a.deltaFor("b", List.of());
		assertThat(this.a.deltaFor("b", List.of()).reports()).hasSize(1);
	}

	@Test
	void anUnknownHeartbeatIsFollowedByARequestForTheFullReport() {
		this.a.deltaFor("b", List.of());
		this.a.onExchangeConfirmed("b");
		this.a.tick(SECOND_NANOS, 0);
		this.b.merge(this.a.deltaFor("b", List.of()), SECOND_NANOS);
		this.a.merge(this.b.deltaFor("a", List.of()), SECOND_NANOS);
		assertThat(this.a.deltaFor("b", List.of()).reports()).hasSize(2);
	}

	@Test
	void aMemberThatAnnouncesItsDrainIsAssignedNoMoreTasks() {
		exchange(this.b, this.a, 0);
		this.b.announce(Phase.DRAINING, SECOND_NANOS);
		exchange(this.b, this.a, SECOND_NANOS);
		assertThat(this.a.state("b", SECOND_NANOS).canOwnTasks()).isFalse();
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.b.announce(Phase.RUNNING, SECOND_NANOS));
	}

	@Test
	void aReportWithAMissedChangeIsRequested() {
		exchange(this.b, this.a, 0);
		this.b.announce(Phase.DRAINING, SECOND_NANOS);
		this.b.tick(4 * SECOND_NANOS, 0);
		this.b.tick(8 * SECOND_NANOS, 0);
		assertThat(this.b.deltaFor("a", List.of()).reports()).isEmpty();
		exchange(this.b, this.a, 8 * SECOND_NANOS);
		exchange(this.a, this.b, 8 * SECOND_NANOS);
		exchange(this.b, this.a, 8 * SECOND_NANOS);
		assertThat(this.a.state("b", 8 * SECOND_NANOS)).isEqualTo(MemberState.DRAINING);
	}

	@Test
	void aRestartedDaemonWhoseClockWasSetBackRaisesItsIncarnation() {
		MemberTable old = new MemberTable(member("b", 100), 0);
		exchange(old, this.a, 0);
		exchange(this.a, this.b, SECOND_NANOS);
		exchange(this.b, this.a, SECOND_NANOS);
		assertThat(this.a.report("b").orElseThrow().member().incarnation()).isEqualTo(101);
	}

	@Test
	void aDamagedDifferenceIsRefused() {
		byte[] bytes = this.a.deltaFor("b", List.of()).encode();
		byte[] cut = Arrays.copyOf(bytes, bytes.length / 2);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> MembershipDelta.decode(cut));
	}

	@Test
	void aSelectorNeverSelectsItsOwnDaemon() {
		exchange(this.b, this.a, 0);
		GossipPeerSelector selector = new GossipPeerSelector(this.a.self().member(), new Random(1), 0);
		assertThat(selector.selectDuePeers(this.a, 0)).extracting(Member::name).containsExactly("b");
		assertThat(selector.selectDuePeers(this.a, SECOND_NANOS / 2)).isEmpty();
	}

	@Test
	void whenAMemberLeavesOnlyItsTasksMove() {
		List<String> all = List.of("a", "b", "c");
		for (int task = 0; task < 100; task++) {
			String before = RendezvousRanking.best("t" + task, all).orElseThrow();
			String after = RendezvousRanking.best("t" + task, List.of("a", "b")).orElseThrow();
			assertThat(before.equals("c") || before.equals(after)).isTrue();
		}
	}

	private MemberState stateAfter(int seconds) {
		return this.a.state("b", seconds * SECOND_NANOS);
	}

	private static void exchange(MemberTable from, MemberTable to, long now) {
		to.merge(from.deltaFor(to.self().member().name(), List.of()), now);
		from.onExchangeConfirmed(to.self().member().name());
	}

	private static Member member(String name, long incarnation) {
		return new Member(name, incarnation, "127.0.0.1:1", "dc-1", "r");
	}

}
