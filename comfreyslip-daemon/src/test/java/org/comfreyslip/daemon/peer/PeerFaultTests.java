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
 * Peers that answer wrongly or not at all.
 */
class PeerFaultTests {

	private static final long SECOND = 1_000_000_000L;

	/** Guards against a version that goes back because a peer answers with an old one. */
	@Test
	void aStalePeerAnswerDoesNotMoveTheVersionBack() {
		String old = DaemonGroup.configText(1);
		ConfigSnapshot stale = new ConfigSnapshot(new ConfigVersion(1, 0, Sha256.ofText(old)), old, 0);
		try (DaemonGroup group = new DaemonGroup(); FakePeer fake = new FakePeer(99, stale)) {
			group.propose(old);
			group.propose(DaemonGroup.configText(2));
			group.start("d1", fake.address());
			group.awaitVersion("d1", 2);
			group.log().fault(FaultOrder.of(FaultMode.DOWN));
			DaemonGroup.await().until(() -> fake.fetches() >= 2);
			group.awaitVersion("d1", 2);
		}
	}

	/** Guards against a silent member that counts for the shares of accounts for ever. */
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

	/** Guards against a daemon that calls a dead peer without pause, or never again. */
	@Test
	void theBackoffGrowsToALimitBelowTheTimeOfDeath() {
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

	/** Guards against a text that travels whole although a line changed. */
	@Test
	void aKnownTextIsAnsweredWithTheDifference() {
		ConfigMessages messages = new ConfigMessages();
		String lines = IntStream.range(0, 500).mapToObj((i) -> Sha256.ofText("" + i) + "\n").reduce("", String::concat);
		ConfigSnapshot first = snapshot(1, lines);
		ConfigSnapshot second = snapshot(2, lines + "[kind new]\n");
		messages.keep(first);
		FetchConfigReply reply = messages.reply(second, first.version().digest());
		assertThat(reply.getSerializedSize()).isLessThan(400);
		assertThat(ConfigMessages.read(reply, first.text())).contains(second);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> ConfigMessages.read(reply, "other"));
		assertThat(ConfigMessages.read(messages.reply(second, "unknown"), "")).contains(second);
		assertThat(ConfigMessages.read(messages.reply(ConfigSnapshot.INITIAL, ""), "")).isEqualTo(Optional.empty());
	}

	/** Guards against a damaged message that fills the memory. */
	@Test
	void aTextThatDecompressesBeyondTheLimitIsRefused() {
		byte[] bytes = TextCompression.compress(new byte[10_000]);
		assertThat(TextCompression.decompress(bytes, 10_000)).hasSize(10_000);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> TextCompression.decompress(bytes, 9_999));
	}

	/** Guards against one ejection that every daemon announces again. */
	@Test
	void aStateThatCameFromAPeerIsNotAnnouncedAgain() {
		EndpointNews news = new EndpointNews();
		assertThat(news.accept(new EndpointNotification("e", 1, 1_000), 2_000)).contains(EndpointState.EJECTED);
		assertThat(news.changes(status(EndpointState.EJECTED), 3_000)).isEmpty();
		assertThat(news.changes(status(EndpointState.HEALTHY), 4_000)).isEmpty();
		assertThat(news.changes(status(EndpointState.EJECTED), 5_000)).hasSize(1);
		assertThat(news.changes(status(EndpointState.HALF_OPEN), 6_000)).isEmpty();
		assertThat(news.changes(status(EndpointState.HEALTHY), 7_000))
			.containsExactly(new EndpointNotification("e", 0, 7_000));
		assertThat(news.accept(new EndpointNotification("e", 2, 1_000), 40_000)).isEmpty();
	}

	private static List<EndpointStatus> status(EndpointState state) {
		return List.of(new EndpointStatus("e", "service", state, 0, 1));
	}

	private static ConfigSnapshot snapshot(long number, String text) {
		return new ConfigSnapshot(new ConfigVersion(number, number, Sha256.ofText(text)), text, number);
	}

}
