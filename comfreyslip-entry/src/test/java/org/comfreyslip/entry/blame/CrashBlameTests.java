package org.comfreyslip.entry.blame;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the conclusions that one daemon draws from crashes.
 */
class CrashBlameTests {

	private final CrashBlame blame = new CrashBlame("d1", -nanos(60_000));

	private int crashCount;

	private int requestCount;

	private static long nanos(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	// An endpoint ends with a request for each set of traits.
	private void crash(long atMs, List<Set<String>> traits) {
		this.crashCount++;
		for (Set<String> one : traits) {
			this.requestCount++;
			crashUnder("r" + this.requestCount, one, "e" + this.crashCount, atMs);
		}
		this.blame.onEndpointEnded("e" + this.crashCount, nanos(atMs + 5));
		this.blame.update(nanos(atMs + 50));
		this.blame.update(nanos(atMs + 250));
	}

	private void crashUnder(String request, Set<String> traits, String endpoint, long atMs) {
		this.blame.onSendBroken(endpoint, new SuspectRequest(request, traits), nanos(atMs));
	}

	private boolean isRefused(long atMs, String... traits) {
		return this.blame.refusalMs(Set.of(traits), nanos(atMs)).isPresent();
	}

	@Test
	void aTraitOfThreeCrashesIsRefused() {
		crash(1_000, List.of(Set.of("kind", "bad")));
		crash(2_000, List.of(Set.of("kind", "bad", "other")));
		assertThat(isRefused(2_500, "kind", "bad")).isFalse();
		crash(3_000, List.of(Set.of("kind", "bad", "third")));
		assertThat(isRefused(3_500, "kind", "bad", "fourth")).isTrue();
	}

	@Test
	void aTraitThatAllCrashesShareIsNotRefusedWithoutTheCause() {
		for (int crash = 1; crash <= 4; crash++) {
			crash(1_000 * crash, List.of(Set.of("kind", "bad"), Set.of("kind", "sound" + crash)));
		}
		assertThat(isRefused(5_000, "kind", "bad")).isTrue();
		assertThat(isRefused(5_000, "kind", "sound1")).isFalse();
		assertThat(isRefused(5_000, "kind")).isFalse();
	}

	@Test
	void anAnswerToOneOfTwoSuspectedTraitsNarrowsTheCauseToTheOther() {
		for (int crash = 1; crash <= 3; crash++) {
			crash(1_000 * crash, List.of(Set.of("kind", "bad")));
		}
		assertThat(isRefused(3_500, "bad")).isFalse();
		this.blame.onAnswered(Set.of("kind"), nanos(3_600));
		assertThat(isRefused(3_700, "bad")).isTrue();
	}

	@Test
	void oneRequestThatIsSentFromOneCrashingEndpointToTheNextIsNoProof() {
		for (int crash = 1; crash <= 5; crash++) {
			crashUnder("r", Set.of("subject"), "e" + crash, 100 * crash);
			this.blame.onEndpointEnded("e" + crash, nanos(100 * crash + 5));
		}
		this.blame.update(nanos(600));
		this.blame.update(nanos(900));
		assertThat(isRefused(1_000, "subject")).isFalse();
	}

	@Test
	void endpointsThatEndTogetherAreNoProof() {
		for (int crash = 1; crash <= 5; crash++) {
			crashUnder("r" + crash, Set.of("subject"), "e" + crash, 100 + crash);
			this.blame.onEndpointEnded("e" + crash, nanos(110));
		}
		this.blame.update(nanos(150));
		this.blame.update(nanos(400));
		assertThat(isRefused(500, "subject")).isFalse();
	}

	@Test
	void connectionsThatBreakWhileTheEndpointGoesOnAreNoProof() {
		for (int crash = 1; crash <= 5; crash++) {
			crashUnder("r" + crash, Set.of("subject"), "e" + crash, 1_000 * crash);
			this.blame.update(nanos(1_000 * crash + 400));
		}
		assertThat(isRefused(6_000, "subject")).isFalse();
	}

	@Test
	void aTraitThatIsAnsweredBetweenTheCrashesIsNoCause() {
		for (int crash = 1; crash <= 6; crash++) {
			crash(1_000 * crash, List.of(Set.of("subject")));
			this.blame.onAnswered(Set.of("subject"), nanos(1_000 * crash + 500));
		}
		assertThat(isRefused(7_000, "subject")).isFalse();
	}

	@Test
	void aTraitThatWasAnsweredBeforeIsRefusedOnceTheCrashesLast() {
		this.blame.onAnswered(Set.of("part"), nanos(900));
		for (int crash = 0; crash < 5; crash++) {
			crash(1_000 + 200 * crash, List.of(Set.of("part")));
			this.blame.onAnswered(Set.of("other"), nanos(1_000 + 200 * crash));
		}
		assertThat(isRefused(2_100, "part")).isFalse();
		crash(2_600, List.of(Set.of("part")));
		assertThat(isRefused(2_900, "part")).isTrue();
	}

	@Test
	void hostsThatFailNowAndThenWithOneTraitAmongOthersAreNoProof() {
		for (int crash = 1; crash <= 12; crash++) {
			crash(3_000 * crash,
					List.of(Set.of("kind", (crash % 4 == 0) ? "subject" : "other" + crash), Set.of("own" + crash)));
			this.blame.onAnswered(Set.of("kind"), nanos(3_000 * crash + 400));
		}
		assertThat(isRefused(37_000, "subject")).isFalse();
	}

	@Test
	void afterItsPeriodOneRequestIsLetThroughAndItsAnswerEndsTheRefusal() {
		for (int crash = 1; crash <= 3; crash++) {
			crash(1_000 * crash, List.of(Set.of("bad")));
		}
		assertThat(isRefused(17_000, "bad")).isTrue();
		assertThat(isRefused(19_000, "bad")).isFalse();
		assertThat(isRefused(19_001, "bad")).isTrue();
		this.blame.onAnswered(Set.of("bad"), nanos(19_500));
		assertThat(isRefused(19_600, "bad")).isFalse();
		assertThat(this.blame.convictionCount()).isZero();
	}

	@Test
	void aCrashOnTrialRenewsTheRefusalForLonger() {
		for (int crash = 1; crash <= 3; crash++) {
			crash(1_000 * crash, List.of(Set.of("bad")));
		}
		assertThat(isRefused(19_000, "bad")).isFalse();
		crash(19_200, List.of(Set.of("bad")));
		assertThat(isRefused(19_500, "bad")).isTrue();
		assertThat(isRefused(75_000, "bad")).isTrue();
		assertThat(isRefused(80_000, "bad")).isFalse();
	}

	@Test
	void aCauseThatNoRequestShowsAgainIsForgotten() {
		for (int crash = 1; crash <= 3; crash++) {
			crash(1_000 * crash, List.of(Set.of("bad")));
		}
		this.blame.update(nanos(80_000));
		assertThat(this.blame.convictionCount()).isZero();
		assertThat(isRefused(80_000, "bad")).isFalse();
	}

	@Test
	void aCauseThatAnotherDaemonFoundIsRefusedApartFromTraitsKnownToBeSound() {
		this.blame.onAnswered(Set.of("kind"), nanos(2_000));
		this.blame.onNotice(
				new CrashNotice(List.of(), Map.of(),
						List.of(new CrashNotice.KnownCause(List.of("kind", "bad"), nanos(1_000), nanos(15_000)))),
				nanos(2_500));
		assertThat(isRefused(2_600, "bad")).isTrue();
		assertThat(isRefused(2_600, "kind")).isFalse();
		assertThat(this.blame.update(nanos(2_700)).answered()).containsOnlyKeys("kind");
	}

	@Test
	void aNoticeOfMoreCausesThanAreKeptLeavesTheMemoryBounded() {
		for (int cause = 0; cause < 1_000; cause++) {
			this.blame.onNotice(new CrashNotice(List.of(), Map.of(),
					List.of(new CrashNotice.KnownCause(List.of("t" + cause), 0, nanos(15_000)))), nanos(1_000));
		}
		assertThat(this.blame.convictionCount()).isLessThanOrEqualTo(64);
	}

	// Two requests with the cause and one without it share a trait.
	@Test
	void aTraitThatACallerOfBadRequestsListsIsNotRefusedWithoutTheCause() {
		crash(1_000, List.of(Set.of("bad", "victim")));
		crash(2_000, List.of(Set.of("bad", "victim")));
		crash(3_000, List.of(Set.of("bad"), Set.of("victim")));
		crash(4_000, List.of(Set.of("bad", "victim")));
		assertThat(isRefused(4_500, "bad", "victim")).isTrue();
		assertThat(isRefused(4_500, "victim")).isFalse();
	}

	@Test
	void aRequestWithATraitOfTwoCrashesIsNotRepeated() {
		crash(1_000, List.of(Set.of("bad")));
		assertThat(this.blame.mayRepeat(Set.of("bad"), nanos(1_500))).isTrue();
		crash(2_000, List.of(Set.of("bad")));
		assertThat(this.blame.mayRepeat(Set.of("bad"), nanos(2_500))).isFalse();
		assertThat(this.blame.mayRepeat(Set.of("other"), nanos(2_500))).isTrue();
	}

	@Test
	void aTraitIsNotRefusedForAnOutageInWhichNoRequestIsAnswered() {
		this.blame.onAnswered(Set.of("kind"), nanos(500));
		for (int crash = 1; crash <= 4; crash++) {
			crash(1_000 * crash, List.of(Set.of("kind")));
		}
		assertThat(isRefused(5_000, "kind")).isFalse();
	}

	@Test
	void aDaemonThatHasJustStartedBlamesNoTraitBeforeItKnowsWhichAreSound() {
		CrashBlame started = new CrashBlame("d2", 0);
		for (int crash = 1; crash <= 4; crash++) {
			started.onSendBroken("e" + crash, new SuspectRequest("r" + crash, Set.of("kind")), nanos(100 * crash));
			started.onEndpointEnded("e" + crash, nanos(100 * crash + 5));
		}
		started.update(nanos(500));
		started.update(nanos(800));
		assertThat(started.refusalMs(Set.of("kind"), nanos(900))).isEmpty();
	}

	@Test
	void aRequestThatIsSentAgainIsRefusedHoweverFarItsCrashesAreApart() {
		for (int crash = 1; crash <= 3; crash++) {
			crash(10_000 * crash, List.of(Set.of("kind", "m/request/1"), Set.of("kind", "m/request/2" + crash)));
			this.blame.onAnswered(Set.of("kind", "m/request/3" + crash), nanos(10_000 * crash + 500));
		}
		assertThat(isRefused(31_000, "kind", "m/request/1")).isTrue();
		assertThat(isRefused(31_000, "kind", "m/request/4")).isFalse();
	}

	@Test
	void aRequestWhoseAttemptCrashedTwoEndpointsIsNotRepeatedInTheNextAttempt() {
		crashUnder("r", Set.of("m/request/1"), "e1", 100);
		crashUnder("r", Set.of("m/request/1"), "e2", 200);
		this.blame.onEndpointEnded("e1", nanos(105));
		this.blame.onEndpointEnded("e2", nanos(205));
		this.blame.update(nanos(250));
		assertThat(this.blame.mayRepeat(Set.of("m/request/1"), nanos(500))).isFalse();
		assertThat(this.blame.mayRepeat(Set.of("m/request/2"), nanos(500))).isTrue();
	}

}
