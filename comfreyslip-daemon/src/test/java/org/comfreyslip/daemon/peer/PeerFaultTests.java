package org.comfreyslip.daemon.peer;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.coordination.digest.Sha256;
import org.comfreyslip.coordination.membership.EndpointNotification;
import org.comfreyslip.daemon.DaemonGroup;
import org.comfreyslip.daemon.route.EndpointStatus;
import org.comfreyslip.routing.endpoint.EndpointState;
import org.comfreyslip.standins.FaultMode;
import org.comfreyslip.standins.FaultOrder;
import org.comfreyslip.wire.FetchConfigReply;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Peers that reply wrongly or not at all.
 */
class PeerFaultTests {

	private static final long SECOND = 1_000_000_000L;

	/**
	 * Guards against a configuration version that goes back because a peer replies with
	 * an older one than it reported.
	 */
	@Test
	void aStalePeerReplyDoesNotMoveTheVersionBack() {
		String old = DaemonGroup.configText(1);
		ConfigSnapshot stale = new ConfigSnapshot(new ConfigVersion(1, 0, Sha256.ofText(old)), old, 0);
		try (DaemonGroup group = new DaemonGroup(); FakePeer fake = new FakePeer(99, stale)) {
			group.propose(old);
			group.propose(DaemonGroup.configText(2));
			group.start("d1", fake.address());
			group.awaitVersion("d1", 2);
			group.log().fault(FaultOrder.of(FaultMode.DOWN));
			DaemonGroup.await().until(() -> fake.fetchCount() >= 2);
			group.awaitVersion("d1", 2);
		}
	}

	/**
	 * Guards against a dead member that reduces the account shares of the others for
	 * ever.
	 */
	@Test
	void aPeerThatFallsSilentIsNoLongerCounted() {
		try (DaemonGroup group = new DaemonGroup()) {
			org.comfreyslip.daemon.Daemon daemon;
			try (FakePeer fake = new FakePeer(0, ConfigSnapshot.INITIAL)) {
				daemon = group.start("d1", fake.address());
				DaemonGroup.await()
					.until(() -> new String(group.getFromAdmin("d1", "/metrics").body()).contains("live_daemons 2"));
			}
			DaemonGroup.await()
				.until(() -> new String(group.getFromAdmin("d1", "/metrics").body()).contains("live_daemons 1"));
			assertThat(daemon).isNotNull();
		}
	}

	/** Guards against a daemon that calls a dead peer without backoff, or never again. */
	@Test
	void theBackoffGrowsToALimitBelowTheTimeAfterWhichAMemberIsDead() {
		PeerBackoff backoff = new PeerBackoff();
		long now = 0;
		for (int i = 0; i < 10; i++) {
			backoff.onFailure("a", now);
			assertThat(backoff.isDue("a", now)).isFalse();
			now += 4 * SECOND;
			assertThat(backoff.isDue("a", now)).isTrue();
		}
		backoff.onFailure("a", now);
		assertThat(backoff.isDue("a", now + 3 * SECOND)).isFalse();
		assertThat(backoff.isDue("b", now)).isTrue();
		backoff.onSuccess("a");
		assertThat(backoff.isDue("a", now)).isTrue();
	}

	/** Guards against sending the whole text when only one line changed. */
	@Test
	void aPeerThatKnowsAnEarlierTextGetsTheDifference() {
		ConfigMessages messages = new ConfigMessages();
		String lines = IntStream.range(0, 500).mapToObj((i) -> Sha256.ofText("" + i) + "\n").reduce("", String::concat);
		ConfigSnapshot first = snapshot(1, lines);
		ConfigSnapshot second = snapshot(2, lines + "[kind new]\n");
		messages.remember(first);
		FetchConfigReply reply = messages.createReply(second, first.version().digest());
		assertThat(reply.getSerializedSize()).isLessThan(400);
		assertThat(ConfigMessages.readReply(reply, first.text())).contains(second);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> ConfigMessages.readReply(reply, "other"));
		assertThat(ConfigMessages.readReply(messages.createReply(second, "unknown"), "")).contains(second);
		assertThat(ConfigMessages.readReply(messages.createReply(ConfigSnapshot.INITIAL, ""), ""))
			.isEqualTo(Optional.empty());
	}

	/** Guards against a damaged message that exhausts the memory. */
	@Test
	void aTextThatDecompressesBeyondTheLimitIsRejected() {
		byte[] bytes = TextCompression.compress(new byte[10_000]);
		assertThat(TextCompression.decompress(bytes, 10_000)).hasSize(10_000);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> TextCompression.decompress(bytes, 9_999));
	}

	/** Guards against every daemon announcing an ejection that one of them announced. */
	@Test
	void aStateThatCameFromAPeerIsNotAnnouncedAgain() {
		EndpointNotificationTracker tracker = new EndpointNotificationTracker();
		assertThat(tracker.applyNotification(new EndpointNotification("e", 1, 1_000), 2_000))
			.contains(EndpointState.EJECTED);
		assertThat(tracker.detectChanges(status(EndpointState.EJECTED), 3_000)).isEmpty();
		assertThat(tracker.detectChanges(status(EndpointState.HEALTHY), 4_000)).isEmpty();
		assertThat(tracker.detectChanges(status(EndpointState.EJECTED), 5_000)).hasSize(1);
		assertThat(tracker.detectChanges(status(EndpointState.HALF_OPEN), 6_000)).isEmpty();
		assertThat(tracker.detectChanges(status(EndpointState.HEALTHY), 7_000))
			.containsExactly(new EndpointNotification("e", 0, 7_000));
		assertThat(tracker.applyNotification(new EndpointNotification("e", 2, 1_000), 40_000)).isEmpty();
	}

	private static List<EndpointStatus> status(EndpointState state) {
		return List.of(new EndpointStatus("e", "service", state, 0, 1));
	}

	private static ConfigSnapshot snapshot(long number, String text) {
		return new ConfigSnapshot(new ConfigVersion(number, number, Sha256.ofText(text)), text, number);
	}

}
