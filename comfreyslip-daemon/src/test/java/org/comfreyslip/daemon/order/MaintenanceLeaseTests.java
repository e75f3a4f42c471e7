package org.comfreyslip.daemon.order;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.daemon.DaemonGroup;
import org.comfreyslip.standins.StandinKind;
import org.comfreyslip.standins.StandinServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two contenders for the lease on a manual clock, one of which is paused or stops.
 */
class MaintenanceLeaseTests {

	private static final long STEP_NANOS = 200_000_000L;

	private final AtomicLong clock = new AtomicLong();

	private final StandinServer log = StandinServer.start(StandinKind.LOG);

	private final HttpTransport http = new HttpTransport();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final AtomicBoolean firstContends = new AtomicBoolean(true);

	@AfterEach
	void close() {
		this.timer.shutdownNow();
		this.http.close();
		this.log.close();
	}

	/** Guards against two holders after a pause that the first holder does not notice. */
	@Test
	void aPausedHolderIsReplacedAndDoesNotTrustItsLeaseAfterwards() {
		MaintenanceLease first = contender("first", this.firstContends);
		advanceUntilValid(first, first);
		long oldFencingToken = fencingToken(first);
		MaintenanceLease second = contender("second", new AtomicBoolean(true));
		this.firstContends.set(false);
		advanceUntilValid(second, first);
		assertThat(first.isValid()).isFalse();
		assertThat(fencingToken(second)).isGreaterThan(oldFencingToken);
		this.firstContends.set(true);
		DaemonGroup.await().until(first::hasHolder);
		assertThat(first.isValid()).isFalse();
	}

	/**
	 * Guards against waiting for the lease to expire after an orderly stop of its holder.
	 */
	@Test
	void aHolderThatStopsLeavesTheLeaseFree() {
		MaintenanceLease first = contender("first", this.firstContends);
		advanceUntilValid(first, first);
		MaintenanceLease second = contender("second", new AtomicBoolean(true));
		first.stop().join();
		DaemonGroup.await().until(second::isValid);
	}

	private MaintenanceLease contender(String name, AtomicBoolean contends) {
		MaintenanceLease lease = new MaintenanceLease(new LogClient(this.http, this.log.address(), 2_000), name,
				contends::get, (changed, detail) -> {
				}, this.clock::get);
		lease.start(this.timer);
		return lease;
	}

	private void advanceUntilValid(MaintenanceLease wanted, MaintenanceLease other) {
		DaemonGroup.await().until(() -> {
			this.clock.addAndGet(STEP_NANOS);
			boolean valid = wanted.isValid();
			assertThat(valid && wanted != other && other.isValid()).isFalse();
			return valid;
		});
	}

	private long fencingToken(MaintenanceLease lease) {
		return lease.withLock((holder) -> holder.fencingToken(this.clock.get()));
	}

}
