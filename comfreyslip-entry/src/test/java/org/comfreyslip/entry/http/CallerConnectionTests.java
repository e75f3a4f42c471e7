package org.comfreyslip.entry.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.comfreyslip.entry.EntrySettings;
import org.comfreyslip.entry.config.ElapsedClock;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallerConnection} while the daemon stops. They guard against a request
 * that is cut off without a response because its connection was taken for an idle one.
 */
class CallerConnectionTests {

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 8_227);

	private final EmbeddedChannel timer = new EmbeddedChannel();

	private final Router router = new Router(this.timer.eventLoop(),
			new EntrySettings("d1", "127.0.0.1", "a", ADDRESS, ADDRESS, ADDRESS, 7_340, ADDRESS, Optional.empty(),
					2_000, 0.2, 10, 10, 8_000),
			null, new ElapsedClock(System::nanoTime, System::currentTimeMillis), new EndpointDirectory(),
			new KeyedFeed(), null, new SplittableRandom(1));

	private EmbeddedChannel connect() {
		return new EmbeddedChannel(new CallerConnection(this.router, false));
	}

	@Test
	void aStoppingDaemonWaitsForTheFirstRequestOfACallerThatHasJustConnected() {
		this.router.acceptRequests();
		EmbeddedChannel caller = connect();
		long now = System.nanoTime();
		this.router.shutdown().request(now);
		this.router.callers().closeIdleAtStop(now);
		assertThat(caller.isOpen()).isTrue();
		this.router.callers()
			.closeIdleAtStop(now + TimeUnit.MILLISECONDS.toNanos(CallerConnection.FIRST_REQUEST_WAIT_MS));
		assertThat(caller.isOpen()).isFalse();
	}

}
