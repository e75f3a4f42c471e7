package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.comfreyslip.entry.model.ServiceSpec;

/**
 * Orders the layers that the plan asks for, while this daemon holds the duty. It keeps no
 * plan: each round starts from what the endpoints hold, so a successor goes on where its
 * predecessor stopped.
 */
public final class PlacementCoordinator {

	/**
	 * Time from the start of the duty to the first plan, in ns, in which registrations
	 * arrive.
	 */
	private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	/**
	 * Time without a new endpoint after which the first plan is made, in ns; above the
	 * heartbeat of 1.2 s.
	 */
	private static final long COMPLETE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * Longest wait for the first plan, in ns; leaves time to load within the 15 s before
	 * the first request.
	 */
	private static final long FIRST_PLAN_NANOS = TimeUnit.SECONDS.toNanos(7);

	/** Longest wait until an accepted order shows in the registration, in ns. */
	private static final long ACCEPTED_NANOS = TimeUnit.SECONDS.toNanos(12);

	/** Pause before a refused or unanswered order is planned again, in ns. */
	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final EndpointDirectory directory;

	private final EndpointFaults faults;

	private final LayerLoads loads;

	private final EngineControl control;

	private final DutyLease lease;

	private final Map<String, Pending> pending = new HashMap<>();

	private long heldSinceNanos = -1;

	private int knownEndpoints;

	private long grewNanos;

	/**
	 * Creates the coordinator.
	 * @param directory the endpoints
	 * @param faults endpoints that failed recently
	 * @param loads streams that run through the endpoints
	 * @param control calls to engines
	 * @param lease whether this daemon may give orders
	 */
	public PlacementCoordinator(EndpointDirectory directory, EndpointFaults faults, LayerLoads loads,
			EngineControl control, DutyLease lease) {
		this.directory = directory;
		this.faults = faults;
		this.loads = loads;
		this.control = control;
		this.lease = lease;
	}

	/**
	 * Plans and gives orders.
	 * @param services the services of the configuration in force
	 * @param nowNanos the current elapsed time in ns, by which the lease runs
	 * @param steadyNanos the current steady time in ns, by which failures are dated
	 */
	public void tick(Iterable<ServiceSpec> services, long nowNanos, long steadyNanos) {
		if (!this.lease.isHeld(nowNanos)) {
			if (this.heldSinceNanos >= 0) {
				EntryLog.write(EntryEvent.DUTY, "placement", "held", false, "generation", this.lease.generation());
			}
			this.heldSinceNanos = -1;
			this.pending.clear();
			return;
		}
		if (this.heldSinceNanos < 0) {
			this.heldSinceNanos = nowNanos;
			EntryLog.write(EntryEvent.DUTY, "placement", "held", true, "generation", this.lease.generation());
		}
		settle(nowNanos);
		if (nowNanos - this.heldSinceNanos < SETTLE_NANOS) {
			return;
		}
		for (ServiceSpec service : services) {
			service.engine().ifPresent((engine) -> order(service.name(), engine, nowNanos, steadyNanos));
		}
	}

	private void settle(long nowNanos) {
		this.pending.entrySet().removeIf((entry) -> {
			Optional<Endpoint> endpoint = this.directory.findUsable(entry.getKey());
			Pending order = entry.getValue();
			boolean gone = endpoint.isEmpty() || endpoint.get().incarnationStartMs() != order.bornMs();
			boolean done = !gone && endpoint.get().layers().equals(Optional.of(order.range()));
			return gone || done || nowNanos - order.untilNanos() >= 0;
		});
	}

	private void order(String service, EngineSpec engine, long nowNanos, long steadyNanos) {
		Map<String, Endpoint> byId = new HashMap<>();
		List<LayerPlanner.Holder> holders = new ArrayList<>();
		for (Endpoint endpoint : this.directory.usableEndpoints(service)) {
			AcceleratorKind kind = endpoint.accelerator().map(engine.kinds()::get).orElse(null);
			if (kind == null || this.faults.isPersistentlyFaulty(endpoint.id(), steadyNanos)) {
				continue;
			}
			Pending order = this.pending.get(endpoint.id());
			Optional<LayerRange> layers = (order != null) ? Optional.of(order.range()) : endpoint.layers();
			byId.put(endpoint.id(), endpoint);
			holders.add(new LayerPlanner.Holder(endpoint.id(), endpoint.dataCentre(), kind, layers, order != null,
					this.loads.of(endpoint.id()).streams()));
		}
		if (isStillGrowing(holders, nowNanos)) {
			return;
		}
		LayerPlanner.plan(engine, holders).forEach((id, range) -> start(byId.get(id), range, nowNanos));
	}

	// A plan for a part of the endpoints would leave the later ones without a useful
	// range.
	private boolean isStillGrowing(List<LayerPlanner.Holder> holders, long nowNanos) {
		if (holders.size() > this.knownEndpoints) {
			this.knownEndpoints = holders.size();
			this.grewNanos = nowNanos;
		}
		boolean first = holders.stream().allMatch((holder) -> holder.layers().isEmpty());
		return first && nowNanos - this.grewNanos < COMPLETE_NANOS && nowNanos - this.heldSinceNanos < FIRST_PLAN_NANOS;
	}

	private void start(Endpoint endpoint, LayerRange range, long nowNanos) {
		Pending order = new Pending(range, endpoint.incarnationStartMs(), nowNanos + ACCEPTED_NANOS);
		this.pending.put(endpoint.id(), order);
		long fence = this.lease.generation();
		this.control.report(endpoint, (report) -> {
			if (report.isEmpty() || report.get().busy()) {
				EntryLog.write(EntryEvent.ORDER_OUTCOME, endpoint.id(), "range", range, "outcome",
						(report.isEmpty()) ? "no report" : "busy");
				postpone(endpoint, order, nowNanos);
				return;
			}
			if (!report.get().layers().equals(Optional.of(range)) && this.lease.isHeld(nowNanos)) {
				EntryLog.write(EntryEvent.LAYERS_ORDERED, endpoint.id(), "range", range, "fence", fence, "had",
						endpoint.layers());
				this.control.place(endpoint, range, fence, report.get().orders(),
						(outcome) -> onOutcome(endpoint, order, fence, outcome, nowNanos));
			}
		});
	}

	private void onOutcome(Endpoint endpoint, Pending order, long fence, EngineControl.OrderOutcome outcome,
			long orderedNanos) {
		if (outcome == EngineControl.OrderOutcome.ACCEPTED) {
			return;
		}
		EntryLog.write(EntryEvent.ORDER_OUTCOME, endpoint.id(), "range", order.range(), "outcome", outcome, "fence",
				fence);
		if (outcome == EngineControl.OrderOutcome.FENCED) {
			this.lease.onFenced(fence);
		}
		postpone(endpoint, order, orderedNanos);
	}

	private void postpone(Endpoint endpoint, Pending order, long orderedNanos) {
		if (Objects.equals(this.pending.get(endpoint.id()), order)) {
			this.pending.put(endpoint.id(), new Pending(order.range(), order.bornMs(), orderedNanos + RETRY_NANOS));
		}
	}

	private record Pending(LayerRange range, long bornMs, long untilNanos) {
	}

}
