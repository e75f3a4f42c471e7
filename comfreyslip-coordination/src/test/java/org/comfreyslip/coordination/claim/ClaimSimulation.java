package org.comfreyslip.coordination.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A randomised simulation of several daemons, one log and one service. All random choices
 * derive from the seed.
 */
final class ClaimSimulation {

	static final IdempotencyKeyPolicy POLICY = new IdempotencyKeyPolicy(60_000, 130_000, 2_000, 1_000);

	private static final int DAEMONS = 3;

	private static final long FAULT_FREE_MILLIS = 20_000;

	final Random random;

	final List<SimulatedClaimLog> logs = new ArrayList<>();

	final SimulatedService service = new SimulatedService();

	long nowMillis = 1_800_000_000_000L;

	private final Map<String, Long> counts;

	private final List<SimulatedDaemon> daemons = new ArrayList<>();

	private final List<ClaimKey> keys = new ArrayList<>();

	private final PriorityQueue<ScheduledTask> schedule = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledTask::atMillis).thenComparingLong(ScheduledTask::number));

	private long lastNumber;

	private long logDownUntilMillis;

	private boolean faultsDisabled;

	ClaimSimulation(long seed, Map<String, Long> counts) {
		this.random = new Random(seed);
		this.counts = counts;
		for (int i = 0; i < ClaimPartition.COUNT; i++) {
			this.logs.add(new SimulatedClaimLog());
		}
		for (int i = 0; i < DAEMONS; i++) {
			this.daemons.add(newDaemon());
		}
	}

	static Map<String, Long> newCounts() {
		return new TreeMap<>();
	}

	void execute(int steps) {
		for (int i = 0; i < steps; i++) {
			step();
			injectFaultsAndRequests();
		}
		runWithoutFaults();
		this.daemons
			.forEach((daemon) -> assertThat(daemon.callsWithoutResult()).as("calls of %s without a result", daemon.name)
				.isEmpty());
	}

	// Continues without new faults until every deadline has passed on every daemon.
	private void runWithoutFaults() {
		this.faultsDisabled = true;
		long resumed = this.daemons.stream().mapToLong((daemon) -> daemon.pausedUntilMillis).max().orElseThrow();
		long end = Math.max(resumed, this.nowMillis) + FAULT_FREE_MILLIS;
		while (this.nowMillis < end) {
			step();
		}
	}

	private void step() {
		boolean jump = !this.faultsDisabled && this.random.nextInt(100) == 0;
		this.nowMillis += jump ? this.random.nextLong(1_000, 15_000) : this.random.nextLong(1, 120);
		while (!this.schedule.isEmpty() && this.schedule.peek().atMillis() <= this.nowMillis) {
			execute(this.schedule.poll());
		}
		for (SimulatedDaemon daemon : this.daemons) {
			if (daemon.pausedUntilMillis <= this.nowMillis && this.random.nextInt(4) > 0) {
				daemon.tick();
			}
		}
	}

	private void execute(ScheduledTask scheduled) {
		SimulatedDaemon daemon = scheduled.daemon();
		if (daemon == null) {
			scheduled.task().run();
		}
		else if (daemon.pausedUntilMillis > this.nowMillis) {
			after(daemon.pausedUntilMillis - this.nowMillis, daemon, scheduled.task());
		}
		else if (!daemon.crashed) {
			scheduled.task().run();
		}
	}

	private void injectFaultsAndRequests() {
		if (this.random.nextInt(4) == 0) {
			startRequest();
		}
		SimulatedDaemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (drawFault("daemon paused", 0.02)) {
			boolean beyondRetention = drawFault("daemon paused beyond the retention", 0.02);
			long pause = beyondRetention ? 140_000 : this.random.nextLong(100, 8_000);
			daemon.pausedUntilMillis = Math.max(daemon.pausedUntilMillis, this.nowMillis + pause);
		}
		if (drawFault("daemon crashed and restarted", 0.01)) {
			daemon.crashed = true;
			this.daemons.set(this.daemons.indexOf(daemon), newDaemon());
		}
		if (drawFault("log outage", 0.005)) {
			this.logDownUntilMillis = this.nowMillis + this.random.nextLong(100, 6_000);
		}
		long oldest = this.nowMillis - POLICY.retentionMillis();
		this.logs.forEach((log) -> count("batches trimmed", log.trim(oldest)));
	}

	private void startRequest() {
		SimulatedDaemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (daemon.pausedUntilMillis > this.nowMillis) {
			return;
		}
		this.lastNumber++;
		daemon.start(chooseKey(), "nonce-" + this.lastNumber);
		count("operations");
	}

	private ClaimKey chooseKey() {
		if (this.keys.isEmpty() || this.random.nextInt(4) == 0) {
			List<String> services = List.of("plain", "lookup", "enforcing");
			this.keys.add(new ClaimKey("account", services.get(this.random.nextInt(3)),
					IdempotencyKeyPolicy.newKey(this.nowMillis, this.random)));
			return this.keys.get(this.keys.size() - 1);
		}
		count("retry with an earlier key");
		int recent = Math.min(this.keys.size(), (this.random.nextInt(5) == 0) ? this.keys.size() : 3);
		return this.keys.get(this.keys.size() - 1 - this.random.nextInt(recent));
	}

	private SimulatedDaemon newDaemon() {
		this.lastNumber++;
		return new SimulatedDaemon(this, "daemon-" + this.lastNumber);
	}

	void after(long millis, SimulatedDaemon daemon, Runnable task) {
		this.lastNumber++;
		this.schedule.add(new ScheduledTask(this.nowMillis + millis, this.lastNumber, daemon, task));
	}

	long drawDelayMillis() {
		return (this.random.nextInt(20) == 0) ? this.random.nextLong(500, 5_000) : this.random.nextLong(0, 60);
	}

	boolean isLogDown() {
		return this.nowMillis < this.logDownUntilMillis;
	}

	boolean drawFault(String fault, double probability) {
		boolean occurs = !this.faultsDisabled && this.random.nextDouble() < probability;
		if (occurs) {
			count(fault);
		}
		return occurs;
	}

	void count(String what) {
		count(what, 1);
	}

	private void count(String what, long number) {
		this.counts.merge(what, number, Long::sum);
	}

	private record ScheduledTask(long atMillis, long number, SimulatedDaemon daemon, Runnable task) {

	}

}
