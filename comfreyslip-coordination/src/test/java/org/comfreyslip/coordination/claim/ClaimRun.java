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
 * One randomised run of several daemons against one log and one service. All choices
 * follow from the seed.
 */
final class ClaimRun {

	static final IdempotencyKeyPolicy POLICY = new IdempotencyKeyPolicy(60_000, 130_000, 2_000, 1_000);

	private static final int DAEMONS = 3;

	private static final long SETTLING_MILLIS = 20_000;

	final Random random;

	final List<ClaimRunLog> logs = new ArrayList<>();

	final ClaimRunService service = new ClaimRunService();

	long now = 1_800_000_000_000L;

	private final Map<String, Long> counts;

	private final List<ClaimRunDaemon> daemons = new ArrayList<>();

	private final List<ClaimKey> keys = new ArrayList<>();

	private final PriorityQueue<Scheduled> schedule = new PriorityQueue<>(
			Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::number));

	private long serial;

	private long logDownUntil;

	private boolean quiet;

	ClaimRun(long seed, Map<String, Long> counts) {
		this.random = new Random(seed);
		this.counts = counts;
		for (int i = 0; i < ClaimPartition.COUNT; i++) {
			this.logs.add(new ClaimRunLog());
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
			act();
		}
		settle();
		this.daemons.forEach(
				(daemon) -> assertThat(daemon.unanswered()).as("calls of %s without an answer", daemon.name).isEmpty());
	}

	// Without new faults, until every deadline has passed on every daemon.
	private void settle() {
		this.quiet = true;
		long resumed = this.daemons.stream().mapToLong((daemon) -> daemon.pausedUntil).max().orElseThrow();
		long end = Math.max(resumed, this.now) + SETTLING_MILLIS;
		while (this.now < end) {
			step();
		}
	}

	private void step() {
		boolean jump = !this.quiet && this.random.nextInt(100) == 0;
		this.now += jump ? this.random.nextLong(1_000, 15_000) : this.random.nextLong(1, 120);
		while (!this.schedule.isEmpty() && this.schedule.peek().at() <= this.now) {
			execute(this.schedule.poll());
		}
		for (ClaimRunDaemon daemon : this.daemons) {
			if (daemon.pausedUntil <= this.now && this.random.nextInt(4) > 0) {
				daemon.tick();
			}
		}
	}

	private void execute(Scheduled item) {
		ClaimRunDaemon daemon = item.daemon();
		if (daemon == null) {
			item.task().run();
		}
		else if (daemon.pausedUntil > this.now) {
			after(daemon.pausedUntil - this.now, daemon, item.task());
		}
		else if (!daemon.crashed) {
			item.task().run();
		}
	}

	private void act() {
		if (this.random.nextInt(4) == 0) {
			request();
		}
		ClaimRunDaemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (happens("daemon paused", 0.02)) {
			boolean beyondRetention = happens("daemon paused beyond the retention", 0.02);
			long pause = beyondRetention ? 140_000 : this.random.nextLong(100, 8_000);
			daemon.pausedUntil = Math.max(daemon.pausedUntil, this.now + pause);
		}
		if (happens("daemon crashed and restarted", 0.01)) {
			daemon.crashed = true;
			this.daemons.set(this.daemons.indexOf(daemon), newDaemon());
		}
		if (happens("log outage", 0.005)) {
			this.logDownUntil = this.now + this.random.nextLong(100, 6_000);
		}
		long oldest = this.now - POLICY.retentionMillis();
		this.logs.forEach((log) -> count("batches trimmed", log.trim(oldest)));
	}

	private void request() {
		ClaimRunDaemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (daemon.pausedUntil > this.now) {
			return;
		}
		this.serial++;
		daemon.start(chooseKey(), "nonce-" + this.serial);
		count("operations");
	}

	private ClaimKey chooseKey() {
		if (this.keys.isEmpty() || this.random.nextInt(4) == 0) {
			List<String> services = List.of("plain", "lookup", "enforcing");
			this.keys.add(new ClaimKey("account", services.get(this.random.nextInt(3)),
					IdempotencyKeyPolicy.newKey(this.now, this.random)));
			return this.keys.get(this.keys.size() - 1);
		}
		count("retry with an earlier key");
		int recent = Math.min(this.keys.size(), (this.random.nextInt(5) == 0) ? this.keys.size() : 3);
		return this.keys.get(this.keys.size() - 1 - this.random.nextInt(recent));
	}

	private ClaimRunDaemon newDaemon() {
		this.serial++;
		return new ClaimRunDaemon(this, "daemon-" + this.serial);
	}

	void after(long millis, ClaimRunDaemon daemon, Runnable task) {
		this.serial++;
		this.schedule.add(new Scheduled(this.now + millis, this.serial, daemon, task));
	}

	long delay() {
		return (this.random.nextInt(20) == 0) ? this.random.nextLong(500, 5_000) : this.random.nextLong(0, 60);
	}

	boolean logDown() {
		return this.now < this.logDownUntil;
	}

	boolean happens(String fault, double probability) {
		boolean drawn = !this.quiet && this.random.nextDouble() < probability;
		if (drawn) {
			count(fault);
		}
		return drawn;
	}

	void count(String what) {
		count(what, 1);
	}

	private void count(String what, long number) {
		this.counts.merge(what, number, Long::sum);
	}

	private record Scheduled(long at, long number, ClaimRunDaemon daemon, Runnable task) {

	}

}
