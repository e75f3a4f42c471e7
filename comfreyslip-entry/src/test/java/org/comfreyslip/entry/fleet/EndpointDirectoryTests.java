package org.comfreyslip.entry.fleet;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Endpoint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointDirectory}. They guard against requests to endpoints that
 * left, and against losing all endpoints because of an outage of the store.
 */
class EndpointDirectoryTests {

	private final EndpointDirectory directory = new EndpointDirectory();

	@Test
	void anEndpointThatIsLeavingGetsNothingNew() {
		this.directory.register(Samples.plain("a", 1, false));
		assertThat(this.directory.usable("archive")).hasSize(1);
		this.directory.register(Samples.plain("a", 2, true));
		assertThat(this.directory.usable("archive")).isEmpty();
		assertThat(this.directory.find("a")).isEmpty();
	}

	@Test
	void anOlderRegistrationDoesNotUndoANewerOne() {
		this.directory.register(Samples.plain("a", 5, true));
		assertThat(this.directory.register(Samples.plain("a", 4, false))).isFalse();
		assertThat(this.directory.usable("archive")).isEmpty();
	}

	@Test
	void aNewIncarnationCountsItsRegistrationsAnew() {
		this.directory.register(Samples.plain("a", 50, true));
		Endpoint reborn = new Endpoint("a", 2, 1, "archive", new InetSocketAddress("10.0.0.1", 8_080), "a", false,
				Optional.empty(), Optional.empty());
		assertThat(this.directory.register(reborn)).isTrue();
		assertThat(this.directory.usable("archive")).containsExactly(reborn);
	}

	@Test
	void anEndpointAtTheAddressOfAnEarlierOneReplacesIt() {
		this.directory.register(Samples.plain("a", 1, false));
		this.directory.remove("a", true, 0);
		Endpoint next = new Endpoint("b", 2, 1, "archive", new InetSocketAddress("10.0.0.1", 8_080), "a", false,
				Optional.empty(), Optional.empty());
		this.directory.register(next);
		assertThat(this.directory.usable("archive")).containsExactly(next);
	}

	@Test
	void aHeartbeatAloneIsNoChange() {
		this.directory.register(Samples.plain("a", 1, false));
		int version = this.directory.version();
		assertThat(this.directory.register(Samples.plain("a", 2, false))).isFalse();
		assertThat(this.directory.version()).isEqualTo(version);
	}

	@Test
	void aRegistrationThatLapsedAroundAnOutageStaysForAShortTime() {
		this.directory.register(Samples.plain("a", 1, false));
		this.directory.remove("a", true, 0);
		assertThat(this.directory.usable("archive")).hasSize(1);
		this.directory.expire(EndpointDirectory.RETURN_NANOS - 1);
		assertThat(this.directory.find("a")).isPresent();
		this.directory.expire(EndpointDirectory.RETURN_NANOS);
		assertThat(this.directory.usable("archive")).isEmpty();
	}

	@Test
	void aRegistrationThatVanishesInCalmIsGoneAtOnce() {
		this.directory.register(Samples.plain("a", 1, false));
		this.directory.retainOnly(Set.of(), false, 0);
		assertThat(this.directory.usable("archive")).isEmpty();
	}

	@Test
	void aLeavingEndpointWhoseRegistrationLapsesDoesNotComeBack() {
		this.directory.register(Samples.plain("a", 1, true));
		this.directory.remove("a", true, 0);
		assertThat(this.directory.usable("archive")).isEmpty();
	}

}
