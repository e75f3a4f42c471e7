package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * Tests for {@link PlacementCoordinator}. They guard against plans made from a part of
 * the endpoints and against orders without the duty.
 */
class PlacementCoordinatorTests {

	private final EndpointDirectory directory = new EndpointDirectory();

	private final Orders orders = new Orders();

	private final DutyLease lease = new DutyLease();

	private final PlacementCoordinator coordinator = new PlacementCoordinator(this.directory, new EndpointFaults(),
			new LayerLoads(), this.orders, this.lease);

	private final List<ServiceSpec> services = List.of(new ServiceSpec("model", 100, Optional.of(Samples.engine())));

	private void run(long fromMs, long toMs) {
		for (long at = fromMs; at < toMs; at += 200) {
			this.lease.onRenewed(true, 7, TimeUnit.MILLISECONDS.toNanos(at));
			this.coordinator.tick(this.services, TimeUnit.MILLISECONDS.toNanos(at),
					TimeUnit.MILLISECONDS.toNanos(at) + 1_000_000_000_000L);
		}
	}

	private void register(int count) {
		for (int index = 0; index < count; index++) {
			this.directory.register(Samples.endpoint("e" + index, "a", Samples.MIDDLE, null));
		}
	}

	@Test
	void theFirstPlanWaitsUntilNoEndpointWasAddedForAWhile() {
		register(3);
		run(0, 1_400);
		assertThat(this.orders.placed).isEmpty();
		register(8);
		run(1_400, 2_600);
		assertThat(this.orders.placed).isEmpty();
		run(2_600, 3_400);
		assertThat(this.orders.placed).hasSize(8);
	}

	@Test
	void withoutTheDutyNothingIsOrdered() {
		register(8);
		this.lease.onRenewed(false, 7, 0);
		for (long at = 0; at < 8_000; at += 200) {
			this.coordinator.tick(this.services, TimeUnit.MILLISECONDS.toNanos(at), 0);
		}
		assertThat(this.orders.placed).isEmpty();
	}

	@Test
	void anOrderNamesTheEnginesOrdersSoFarAndTheFence() {
		register(8);
		run(0, 3_400);
		assertThat(this.orders.fences).containsOnly(7L);
		assertThat(this.orders.expected).containsOnly(3L);
	}

	@Test
	void anUnansweredOrderIsGivenAgainAfterAPause() {
		register(8);
		this.orders.outcome = EngineControl.OrderOutcome.UNKNOWN;
		run(0, 3_200);
		int first = this.orders.placed.size();
		run(3_200, 4_600);
		assertThat(this.orders.placed.size()).isGreaterThan(first);
	}

	@Test
	void afterAFencedOrderNoneFollowsUnderThatToken() {
		register(8);
		this.orders.outcome = EngineControl.OrderOutcome.FENCED;
		run(0, 8_000);
		assertThat(this.orders.placed).hasSize(1);
	}

	private static final class Orders implements EngineControl {

		private final List<LayerRange> placed = new ArrayList<>();

		private final List<Long> fences = new ArrayList<>();

		private final List<Long> expected = new ArrayList<>();

		private OrderOutcome outcome = OrderOutcome.ACCEPTED;

		@Override
		public void report(Endpoint endpoint, Consumer<Optional<Report>> done) {
			done.accept(Optional.of(new Report(Optional.empty(), 3, false, 1, List.of())));
		}

		@Override
		public void place(Endpoint endpoint, LayerRange layers, long fence, long expectedOrders,
				Consumer<OrderOutcome> done) {
			this.placed.add(layers);
			this.fences.add(fence);
			this.expected.add(expectedOrders);
			done.accept(this.outcome);
		}

	}

}
