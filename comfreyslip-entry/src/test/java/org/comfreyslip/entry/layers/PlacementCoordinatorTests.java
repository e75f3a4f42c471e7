package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;
import org.comfreyslip.entry.model.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlacementCoordinator}. They guard against plans that are made before
 * all endpoints have registered and against orders without leadership.
 */
class PlacementCoordinatorTests {

	private final EndpointDirectory directory = new EndpointDirectory();

	private final RecordingEngineControl engines = new RecordingEngineControl();

	private final LeaderLease lease = new LeaderLease();

	private final PlacementCoordinator coordinator = new PlacementCoordinator(this.directory, new EndpointFaults(),
			new LayerLoads(new SplittableRandom(1)), this.engines, this.lease, () -> this.nowNanos);

	private long nowNanos;

	private final List<ServiceSpec> services = List.of(new ServiceSpec("model", 100, Optional.of(Samples.engine())));

	private void runAsLeader(long fromMs, long toMs) {
		for (long timeMs = fromMs; timeMs < toMs; timeMs += 200) {
			this.nowNanos = TimeUnit.MILLISECONDS.toNanos(timeMs);
			this.lease.onMembership(new LeaderElection.Membership(0, 7, true), TimeUnit.MILLISECONDS.toNanos(timeMs));
			this.coordinator.planAndOrder(this.services, TimeUnit.MILLISECONDS.toNanos(timeMs),
					TimeUnit.MILLISECONDS.toNanos(timeMs) + 1_000_000_000_000L);
		}
	}

	private void register(int count) {
		for (int index = 0; index < count; index++) {
			this.directory.register(Samples.endpoint("e" + index, "a", Samples.MIDDLE, null));
		}
	}

	@Test
	void firstPlanWaitsUntilNoEndpointHasRegisteredForAWhile() {
		register(3);
		runAsLeader(0, 1_400);
		assertThat(this.engines.orderedRanges).isEmpty();
		register(8);
		runAsLeader(1_400, 2_600);
		assertThat(this.engines.orderedRanges).isEmpty();
		runAsLeader(2_600, 3_400);
		assertThat(this.engines.orderedRanges).hasSize(8);
	}

	@Test
	void nothingIsOrderedWithoutLeadership() {
		register(8);
		this.lease.onMembership(new LeaderElection.Membership(0, 7, false), 0);
		for (long timeMs = 0; timeMs < 8_000; timeMs += 200) {
			this.coordinator.planAndOrder(this.services, TimeUnit.MILLISECONDS.toNanos(timeMs), 0);
		}
		assertThat(this.engines.orderedRanges).isEmpty();
	}

	@Test
	void orderCarriesTheExpectedOrderCountAndTheFencingToken() {
		register(8);
		runAsLeader(0, 3_400);
		assertThat(this.engines.fencingTokens).containsOnly(7L);
		assertThat(this.engines.expectedOrderCounts).containsOnly(3L);
	}

	@Test
	void orderWithUnknownOutcomeIsGivenAgainAfterABackoff() {
		register(8);
		this.engines.outcome = EngineControl.OrderOutcome.UNKNOWN;
		runAsLeader(0, 3_200);
		int firstOrderCount = this.engines.orderedRanges.size();
		runAsLeader(3_200, 4_600);
		assertThat(this.engines.orderedRanges.size()).isGreaterThan(firstOrderCount);
	}

	@Test
	void noOrderFollowsUnderARejectedFencingToken() {
		register(8);
		this.engines.outcome = EngineControl.OrderOutcome.FENCED;
		runAsLeader(0, 8_000);
		assertThat(this.engines.orderedRanges).hasSize(1);
	}

	// The store has chosen another leader by then, whose orders would be repeated.
	@Test
	void noOrderFollowsAReportThatArrivesAfterTheLeaseHasEnded() {
		register(8);
		this.engines.holdsReports = true;
		runAsLeader(0, 3_400);
		this.nowNanos = TimeUnit.MILLISECONDS.toNanos(3_400 + LeaderLease.TTL_MS);
		this.engines.sendHeldReports();
		assertThat(this.engines.orderedRanges).isEmpty();
	}

	@Test
	void noOrderFollowsAReportThatArrivesAfterTheLeadershipWasLostAndRegained() {
		register(8);
		this.engines.holdsReports = true;
		runAsLeader(0, 3_400);
		this.lease.onMembership(new LeaderElection.Membership(0, 8, false), this.nowNanos);
		this.coordinator.planAndOrder(this.services, this.nowNanos, this.nowNanos);
		this.lease.onMembership(new LeaderElection.Membership(0, 9, true), this.nowNanos);
		this.coordinator.planAndOrder(this.services, this.nowNanos, this.nowNanos);
		this.engines.sendHeldReports();
		assertThat(this.engines.orderedRanges).isEmpty();
	}

	// Guards against a holder that asks for no window and so never orders, and against
	// one
	// that asks for windows while there is nothing to order.
	@Test
	void ordersAreGivenOnceTheWindowIsOpenAndAreWantedOnlyUntilThen() {
		WindowedPermission window = new WindowedPermission();
		PlacementCoordinator holder = new PlacementCoordinator(this.directory, new EndpointFaults(),
				new LayerLoads(new SplittableRandom(1)), this.engines, window, () -> this.nowNanos);
		register(8);
		this.engines.holdsReports = true;
		runHolder(holder, 0, 1_400);
		assertThat(holder.wantsToOrder()).isFalse();
		runHolder(holder, 1_400, 2_600);
		assertThat(holder.wantsToOrder()).isTrue();
		assertThat(this.engines.heldReports).isEmpty();
		window.open = true;
		runHolder(holder, 2_600, 2_800);
		window.open = false;
		this.engines.sendHeldReports();
		assertThat(this.engines.orderedRanges).isEmpty();
		assertThat(holder.wantsToOrder()).isTrue();
		window.open = true;
		runHolder(holder, 2_800, 3_000);
		assertThat(holder.wantsToOrder()).isTrue();
		this.engines.sendHeldReports();
		assertThat(this.engines.orderedRanges).hasSize(8);
		assertThat(holder.wantsToOrder()).isFalse();
		window.open = false;
		runHolder(holder, 3_000, 8_000);
		assertThat(holder.wantsToOrder()).isFalse();
	}

	private void runHolder(PlacementCoordinator holder, long fromMs, long toMs) {
		for (long timeMs = fromMs; timeMs < toMs; timeMs += 200) {
			this.nowNanos = TimeUnit.MILLISECONDS.toNanos(timeMs);
			holder.planAndOrder(this.services, this.nowNanos, this.nowNanos);
		}
	}

	/** Permission of a holder whose window is closed at times. */
	private static final class WindowedPermission implements OrderPermission {

		private boolean open;

		@Override
		public boolean holdsDuty(long nowNanos) {
			return true;
		}

		@Override
		public boolean mayOrder(long nowNanos) {
			return this.open;
		}

		@Override
		public long fencingToken() {
			return 7;
		}

		@Override
		public void recordRejectedToken(long token) {
			this.open = false;
		}

		@Override
		public String reason() {
			return "test";
		}

	}

	private static final class RecordingEngineControl implements EngineControl {

		private final List<LayerRange> orderedRanges = new ArrayList<>();

		private final List<Long> fencingTokens = new ArrayList<>();

		private final List<Long> expectedOrderCounts = new ArrayList<>();

		private final List<Consumer<Optional<Report>>> heldReports = new ArrayList<>();

		private boolean holdsReports;

		private OrderOutcome outcome = OrderOutcome.ACCEPTED;

		@Override
		public void fetchReport(Endpoint endpoint, Consumer<Optional<Report>> callback) {
			this.heldReports.add(callback);
			if (!this.holdsReports) {
				sendHeldReports();
			}
		}

		private void sendHeldReports() {
			List<Consumer<Optional<Report>>> held = List.copyOf(this.heldReports);
			this.heldReports.clear();
			held.forEach(
					(callback) -> callback.accept(Optional.of(new Report(Optional.empty(), 3, false, 1, List.of()))));
		}

		@Override
		public void orderLayers(Endpoint endpoint, LayerRange layers, long fencingToken, long expectedOrderCount,
				Consumer<OrderOutcome> callback) {
			this.orderedRanges.add(layers);
			this.fencingTokens.add(fencingToken);
			this.expectedOrderCounts.add(expectedOrderCount);
			callback.accept(this.outcome);
		}

	}

}
