package org.comfreyslip.entry.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointDirectory}. They guard against requests to endpoints that have
 * left, and against losing all endpoints when registrations expire during an outage of
 * the store.
 */
class EndpointDirectoryTests {

	private final EndpointDirectory directory = new EndpointDirectory();

	@Test
	void aDrainingEndpointIsNotUsable() {
		this.directory.register(Samples.plain("a", 1, false));
		assertThat(this.directory.usableEndpoints("archive")).hasSize(1);
		this.directory.register(Samples.plain("a", 2, true));
		assertThat(this.directory.usableEndpoints("archive")).isEmpty();
		assertThat(this.directory.findUsable("a")).isEmpty();
	}

	@Test
	void anOlderRegistrationDoesNotUndoANewerOne() {
		this.directory.register(Samples.plain("a", 5, true));
		assertThat(this.directory.register(Samples.plain("a", 4, false))).isFalse();
		assertThat(this.directory.usableEndpoints("archive")).isEmpty();
	}

	@Test
	void aNewIncarnationReplacesTheOldOneDespiteALowerHeartbeat() {
		this.directory.register(Samples.plain("a", 50, true));
		Endpoint restarted = new Endpoint("a", 2, 1, "archive", new InetSocketAddress("10.0.0.1", 8_080), "a", false,
				Optional.empty(), Optional.empty());
		assertThat(this.directory.register(restarted)).isTrue();
		assertThat(this.directory.usableEndpoints("archive")).containsExactly(restarted);
	}

	@Test
	void anEndpointAtTheAddressOfAnEarlierOneReplacesIt() {
		this.directory.register(Samples.plain("a", 1, false));
		this.directory.remove("a", true, 0);
		Endpoint next = new Endpoint("b", 2, 1, "archive", new InetSocketAddress("10.0.0.1", 8_080), "a", false,
				Optional.empty(), Optional.empty());
		this.directory.register(next);
		assertThat(this.directory.usableEndpoints("archive")).containsExactly(next);
	}

	// Guards against an entry of another writer that takes the place of sound engines.
	@Test
	void anEndpointWithLayersBeyondItsModelIsNotUsableAndReplacesNoOther() {
		Endpoint sound = engine("a", 1, 8);
		this.directory.setLayerCounts(Map.of("model", 8));
		this.directory.register(sound);
		this.directory.register(engine("b", 2, 9));
		assertThat(this.directory.usableEndpoints("model")).containsExactly(sound);
		assertThat(this.directory.findUsable("b")).isEmpty();
		this.directory.setLayerCounts(Map.of("model", 9));
		assertThat(this.directory.findUsable("b")).isPresent();
	}

	private static Endpoint engine(String id, long incarnation, int layers) {
		return new Endpoint(id, incarnation, 1, "model", new InetSocketAddress("10.0.0.1", 8_080), "a", false,
				Optional.of("k"), Optional.of(new LayerRange(0, layers)));
	}

	@Test
	void aNewHeartbeatAloneIsNotAChange() {
		this.directory.register(Samples.plain("a", 1, false));
		int version = this.directory.version();
		assertThat(this.directory.register(Samples.plain("a", 2, false))).isFalse();
		assertThat(this.directory.version()).isEqualTo(version);
	}

	@Test
	void anEndpointWhoseRegistrationLapsedNearAnOutageStaysUsableForAShortTime() {
		this.directory.register(Samples.plain("a", 1, false));
		this.directory.remove("a", true, 0);
		assertThat(this.directory.usableEndpoints("archive")).hasSize(1);
		this.directory.dropExpired(EndpointDirectory.LAPSED_USABLE_NANOS - 1);
		assertThat(this.directory.findUsable("a")).isPresent();
		this.directory.dropExpired(EndpointDirectory.LAPSED_USABLE_NANOS);
		assertThat(this.directory.usableEndpoints("archive")).isEmpty();
	}

	@Test
	void anEndpointRemovedWithoutAnOutageIsGoneAtOnce() {
		this.directory.register(Samples.plain("a", 1, false));
		this.directory.retainOnly(Set.of(), false, 0);
		assertThat(this.directory.usableEndpoints("archive")).isEmpty();
	}

	@Test
	void aDrainingEndpointWhoseRegistrationLapsesStaysUnusable() {
		this.directory.register(Samples.plain("a", 1, true));
		this.directory.remove("a", true, 0);
		assertThat(this.directory.usableEndpoints("archive")).isEmpty();
	}

	// Guards against requests to an endpoint that left, after the store went back.
	@Test
	void theLastRegistrationOfAnEndpointThatLeftDoesNotBringItBack() {
		this.directory.register(Samples.plain("a", 5, false));
		this.directory.remove("a", false, 0);
		assertThat(this.directory.register(Samples.plain("a", 5, false))).isFalse();
		assertThat(this.directory.register(Samples.plain("a", 4, false))).isFalse();
		assertThat(this.directory.usableEndpoints("archive")).isEmpty();
		assertThat(this.directory.register(Samples.plain("a", 6, false))).isTrue();
	}

}
