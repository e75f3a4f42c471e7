package org.comfreyslip.entry.reach;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.model.Endpoint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the decisions about endpoints that are out of reach. They guard against single
 * endpoints that are taken for a cut, and a cut that is taken for the end of endpoints.
 */
class EndpointReachTests {

	private static final List<String> ENDPOINTS = List.of("e1", "e2", "e3", "e4", "e5");

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.2", 7_340);

	private final EndpointReach reach = new EndpointReach(new SplittableRandom(1));

	private final RefusedConnections refused = new RefusedConnections();

	private final RotationPolicy rotation = new RotationPolicy("a");

	private static long ms(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	private List<String> doubtAndTakeTrials(long nowMs) {
		this.reach.doubt("s", ms(nowMs));
		return this.reach.takeTrials("s", ENDPOINTS, ms(nowMs));
	}

	private void loseService(long nowMs) {
		for (String id : doubtAndTakeTrials(nowMs)) {
			this.reach.onTrialDone("s", id, false, ENDPOINTS, ms(nowMs));
		}
	}

	private static Endpoint endpoint(String id) {
		return new Endpoint(id, 1, 1, "s", ADDRESS, "a", false, Optional.empty(), Optional.empty());
	}

	private static RelayPeer peer(String name, String dataCentre, String... lostServices) {
		return new RelayPeer(name, dataCentre, ADDRESS, true, List.of(lostServices));
	}

	@Test
	void aServiceIsLostOnceAllTrialsHaveFailed() {
		List<String> trials = doubtAndTakeTrials(0);
		assertThat(trials).hasSize(ServiceReach.DECIDING_TRIALS).doesNotHaveDuplicates();
		this.reach.onTrialDone("s", trials.get(0), false, ENDPOINTS, ms(1));
		this.reach.onTrialDone("s", trials.get(1), false, ENDPOINTS, ms(1));
		assertThat(this.reach.isLost("s")).isFalse();
		this.reach.onTrialDone("s", trials.get(2), false, ENDPOINTS, ms(1));
		assertThat(this.reach.isLost("s")).isTrue();
		assertThat(this.reach.lostServices()).containsExactly("s");
		assertThat(this.reach.isLost("other")).isFalse();
	}

	@Test
	void aServiceIsNotLostIfOneTrialSucceeds() {
		List<String> trials = doubtAndTakeTrials(0);
		this.reach.onTrialDone("s", trials.get(0), true, ENDPOINTS, ms(1));
		this.reach.onTrialDone("s", trials.get(1), false, ENDPOINTS, ms(1));
		this.reach.onTrialDone("s", trials.get(2), false, ENDPOINTS, ms(1));
		assertThat(this.reach.isLost("s")).isFalse();
		assertThat(this.reach.isReliable("s")).isTrue();
	}

	@Test
	void anAnswerOnAnOldConnectionDoesNotSettleADoubt() {
		doubtAndTakeTrials(100);
		this.reach.onAnswer("s", ms(50), ms(101));
		assertThat(this.reach.isReliable("s")).isFalse();
		this.reach.onAnswer("s", ms(101), ms(102));
		assertThat(this.reach.isReliable("s")).isTrue();
	}

	@Test
	void aServiceWithOneSoundEndpointIsReachedAgain() {
		loseService(0);
		long now = 0;
		while (this.reach.isLost("s") && now < 20_000) {
			now += 40;
			for (String id : this.reach.takeTrials("s", ENDPOINTS, ms(now))) {
				this.reach.onTrialDone("s", id, id.equals("e4"), ENDPOINTS, ms(now));
			}
		}
		assertThat(this.reach.isLost("s")).isFalse();
	}

	@Test
	void anEndpointThatHasStartedDuringALossIsTriedAtOnce() {
		loseService(0);
		assertThat(this.reach.takeTrials("s", ENDPOINTS, ms(1))).isEmpty();
		List<String> withNew = new ArrayList<>(ENDPOINTS);
		withNew.add("e6");
		assertThat(this.reach.hasUntried("s", ENDPOINTS)).isFalse();
		assertThat(this.reach.hasUntried("s", withNew)).isTrue();
		assertThat(this.reach.takeTrials("s", withNew, ms(2))).containsExactly("e6");
		assertThat(this.reach.hasUntried("s", withNew)).isTrue();
		this.reach.onTrialDone("s", "e6", false, withNew, ms(3));
		assertThat(this.reach.hasUntried("s", withNew)).isFalse();
	}

	@Test
	void doubtsFollowingEachOtherStartFewTrials() {
		int trials = 0;
		for (long now = 0; now < 1_000; now++) {
			for (String id : doubtAndTakeTrials(now)) {
				trials++;
				this.reach.onTrialDone("s", id, true, ENDPOINTS, ms(now));
			}
		}
		assertThat(trials).isLessThanOrEqualTo(5 * ServiceReach.DECIDING_TRIALS);
	}

	@Test
	void anEndpointThatRefusedHasEndedOnlyIfAConnectionOpenedAfterwards() {
		this.reach.onProof(ms(90));
		this.refused.add(endpoint("e1"), ms(100));
		assertThat(this.refused.takeEnded(this.reach, ms(110))).isEmpty();
		this.reach.onProof(ms(120));
		assertThat(this.refused.takeEnded(this.reach, ms(121))).extracting(Endpoint::id).containsExactly("e1");
		assertThat(this.refused.takeEnded(this.reach, ms(122))).isEmpty();
	}

	@Test
	void aRefusalThatNothingProvesIsForgotten() {
		this.refused.add(endpoint("e1"), ms(100));
		assertThat(this.refused.takeEnded(this.reach, ms(1_200))).isEmpty();
		this.reach.onProof(ms(1_300));
		assertThat(this.refused.takeEnded(this.reach, ms(1_301))).isEmpty();
	}

	@Test
	void requestsGoToDaemonsThatReachTheServiceAndTakeThem() {
		RelaySelector selector = new RelaySelector("a", new SplittableRandom(1));
		List<RelayPeer> peers = List.of(peer("lost", "a", "s"), peer("sound", "b", "other"),
				new RelayPeer("stopping", "b", ADDRESS, false, List.of()));
		assertThat(selector.choose("s", peers, Set.of(), 0)).map(RelayPeer::name).contains("sound");
		assertThat(selector.choose("s", peers, Set.of("sound"), 0)).isEmpty();
		selector.onNotTaken("sound", "s", 0);
		assertThat(selector.choose("s", peers, Set.of(), ms(1_000))).isEmpty();
		assertThat(selector.choose("other", peers, Set.of(), ms(1_000))).map(RelayPeer::name).contains("lost");
		assertThat(selector.choose("s", peers, Set.of(), ms(2_001))).map(RelayPeer::name).contains("sound");
	}

	@Test
	void requestsStayInTheDataCentreOnlyWhileItsSoundDaemonsCanBearThem() {
		RelaySelector selector = new RelaySelector("a", new SplittableRandom(1));
		List<RelayPeer> oneLost = List.of(peer("a1", "a"), peer("a2", "a"), peer("b1", "b"));
		List<RelayPeer> twoLost = List.of(peer("a1", "a"), peer("a2", "a", "s"), peer("b1", "b"));
		Set<String> chosenOfTwoLost = new HashSet<>();
		for (int request = 0; request < 100; request++) {
			assertThat(selector.choose("s", oneLost, Set.of(), 0)).map(RelayPeer::dataCentre).contains("a");
			selector.choose("s", twoLost, Set.of(), 0).ifPresent((one) -> chosenOfTwoLost.add(one.name()));
		}
		assertThat(chosenOfTwoLost).containsExactlyInAnyOrder("a1", "b1");
	}

	@Test
	void aDaemonThatIsCutOffLeavesTheRotationOnlyIfEnoughOthersRemain() {
		List<RelayPeer> enough = List.of(peer("a1", "a"), peer("a2", "a"), peer("b1", "b"));
		List<RelayPeer> tooFew = List.of(peer("a1", "a"), peer("a2", "a", "s"), peer("b1", "b"));
		assertThat(this.rotation.update(List.of("s"), enough, 0)).isFalse();
		assertThat(this.rotation.update(List.of("s"), enough, RotationPolicy.SETTLING_NANOS)).isTrue();
		assertThat(this.rotation.update(List.of("s"), tooFew, RotationPolicy.SETTLING_NANOS)).isFalse();
		assertThat(this.rotation.update(List.of(), enough, RotationPolicy.SETTLING_NANOS)).isFalse();
	}

}
