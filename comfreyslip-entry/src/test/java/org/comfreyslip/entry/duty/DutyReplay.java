package org.comfreyslip.entry.duty;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.layers.EngineControl;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.PlacementCoordinator;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;
import org.comfreyslip.entry.model.ServiceSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Daemons with the real coordinator, a store and engines in simulated time. Fails if two
 * daemons may give orders at the same time, or an engine gets an order with a lower token
 * than another engine before.
 */
final class DutyReplay implements EngineControl {

	private static final int LAYERS = 80;

	private static final int ENGINES = 12;

	private static final long CALL_TIMEOUT_MS = 700;

	private static final long LIVE_MS = 2_500;

	private final SplittableRandom random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));

	private final List<Daemon> daemons = new ArrayList<>();

	private final EndpointDirectory directory = new EndpointDirectory();

	private final List<ServiceSpec> services = List.of(new ServiceSpec("model", 100, Optional.of(Samples.engine())));

	private final List<byte[]> log = new ArrayList<>();

	boolean storeUp = true;

	private long nowMs;

	private long eventCount;

	private long heartbeat;

	private long highestToken;

	private long lastReadyMs;

	long longestGapMs;

	int callCount;

	int orderCount;

	long lastOrderMs;

	DutyReplay(int count, long seed) {
		this.random = new SplittableRandom(seed);
		for (int number = 0; number < ENGINES; number++) {
			register("e" + number, Optional.empty());
		}
		for (int number = 0; number < count; number++) {
			this.daemons.add(new Daemon("d" + number));
		}
		this.daemons.forEach((daemon) -> daemon.start(this.random.nextInt(300)));
		every(5, this::check);
	}

	private void at(long timeMs, Runnable action) {
		this.events.add(new Event(timeMs, this.eventCount++, action));
	}

	private void every(long ms, Runnable action) {
		at(this.nowMs + ms, () -> {
			action.run();
			every(ms, action);
		});
	}

	void runFor(long ms) {
		long end = this.nowMs + ms;
		while (this.events.peek().atMs() < end) {
			Event next = this.events.poll();
			this.nowMs = next.atMs();
			next.action().run();
		}
		this.nowMs = end;
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMs);
	}

	private void check() {
		assertThat(this.daemons.stream().filter((one) -> one.isRunning() && one.runner.mayOrder(nanos())))
			.as("daemons that may give orders at %s", this.nowMs)
			.hasSizeLessThan(2);
		if (this.daemons.stream().anyMatch((one) -> one.isRunning() && one.runner.isReady(nanos()))) {
			if (this.lastReadyMs > 0) {
				this.longestGapMs = Math.max(this.longestGapMs, this.nowMs - this.lastReadyMs);
			}
			this.lastReadyMs = this.nowMs;
		}
	}

	long msWithoutHolder() {
		return this.nowMs - this.lastReadyMs;
	}

	Optional<Daemon> holder() {
		return this.daemons.stream().filter((one) -> one.isRunning() && one.runner.isReady(nanos())).findFirst();
	}

	Daemon anyDaemon() {
		return this.daemons.get(this.random.nextInt(this.daemons.size()));
	}

	// Ends a daemon by one of three ways, and lets it rejoin.
	void end(Daemon chosen) {
		switch (this.random.nextInt(3)) {
			case 0 -> chosen.crash(3_000);
			case 1 -> {
				chosen.obstacle = "stopping";
				at(this.nowMs + 500, () -> chosen.crash(3_000));
			}
			default -> chosen.freeze(300 + this.random.nextInt(3_000));
		}
	}

	// Restarts an engine, so that its layers are ordered again.
	void loseEngine() {
		register("e" + this.random.nextInt(ENGINES), Optional.empty());
	}

	private void register(String id, Optional<LayerRange> held) {
		Endpoint sample = Samples.endpoint(id, "dc", Samples.MIDDLE, held.orElse(null));
		this.directory.register(new Endpoint(id, 1, ++this.heartbeat, "model", sample.address(), "dc", false,
				sample.accelerator(), held));
	}

	boolean holdsAllLayers() {
		List<LayerRange> ranges = this.directory.usableEndpoints("model")
			.stream()
			.flatMap((one) -> one.layers().stream())
			.toList();
		return IntStream.range(0, LAYERS)
			.allMatch((layer) -> ranges.stream().anyMatch((range) -> range.contains(layer)));
	}

	@Override
	public void fetchReport(Endpoint endpoint, Consumer<Optional<Report>> callback) {
		at(this.nowMs + 10,
				() -> callback
					.accept(Optional.of(new Report(this.directory.findUsable(endpoint.id()).flatMap(Endpoint::layers),
							0, false, 1, List.of()))));
	}

	@Override
	public void orderLayers(Endpoint endpoint, LayerRange layers, long fencingToken, long expectedOrderCount,
			Consumer<OrderOutcome> callback) {
		assertThat(fencingToken).isGreaterThanOrEqualTo(this.highestToken);
		this.highestToken = fencingToken;
		this.orderCount++;
		this.lastOrderMs = this.nowMs;
		at(this.nowMs + 100, () -> register(endpoint.id(), Optional.of(layers)));
		at(this.nowMs + 10, () -> callback.accept(OrderOutcome.ACCEPTED));
	}

	private record Event(long atMs, long number, Runnable action) {
	}

	/** One daemon. */
	final class Daemon implements DutyPeers, DutyLog {

		private final String name;

		private DutyRunner runner;

		private PlacementCoordinator coordinator;

		private Map<String, Long> heardMs = new HashMap<>();

		private int incarnation;

		private boolean stopped = true;

		private long frozenUntilMs;

		String obstacle = "";

		/** Whether the store turns only this daemon away. */
		boolean turnedAway;

		private Daemon(String name) {
			this.name = name;
		}

		private void start(long delayMs) {
			at(DutyReplay.this.nowMs + delayMs, () -> {
				this.stopped = false;
				this.obstacle = "";
				this.heardMs = new HashMap<>();
				int running = ++this.incarnation;
				this.runner = new DutyRunner(this.name, DutyReplay.this.nowMs, this, this, DutyReplay.this::nanos,
						this::plan);
				this.coordinator = new PlacementCoordinator(DutyReplay.this.directory, new EndpointFaults(),
						new LayerLoads(new SplittableRandom(1)), DutyReplay.this, this.runner, DutyReplay.this::nanos);
				repeat(running, 20, () -> {
					if (DutyReplay.this.nowMs % 40 < 20 || this.runner.intervalMs() == 20) {
						this.runner.run(this.obstacle, this.coordinator.wantsToOrder());
					}
				});
				repeat(running, 200, this::plan);
				repeat(running, 200, this::sendMessage);
			});
		}

		private void plan() {
			this.coordinator.planAndOrder(DutyReplay.this.services, nanos(), nanos());
		}

		private void repeat(int running, long intervalMs, Runnable action) {
			at(DutyReplay.this.nowMs + DutyReplay.this.random.nextInt((int) intervalMs),
					() -> repeatNow(running, intervalMs, action));
		}

		private void repeatNow(int running, long intervalMs, Runnable action) {
			if (this.incarnation == running && !this.stopped) {
				if (isRunning()) {
					action.run();
				}
				at(Math.max(DutyReplay.this.nowMs + intervalMs, this.frozenUntilMs),
						() -> repeatNow(running, intervalMs, action));
			}
		}

		boolean isRunning() {
			return !this.stopped && DutyReplay.this.nowMs >= this.frozenUntilMs;
		}

		private void freeze(long ms) {
			this.frozenUntilMs = DutyReplay.this.nowMs + ms;
		}

		private void crash(long rejoinsAfterMs) {
			if (!this.stopped) {
				this.stopped = true;
				start(rejoinsAfterMs);
			}
		}

		// A datagram waits until the receiver reads its socket the next time.
		private void deliver(Daemon receiver, Runnable handling) {
			int running = receiver.incarnation;
			long readMs = DutyReplay.this.nowMs + 1 + DutyReplay.this.random.nextInt(20);
			at(Math.max(readMs, receiver.frozenUntilMs), () -> {
				if (receiver.incarnation == running && !receiver.stopped) {
					handling.run();
				}
			});
		}

		private void sendMessage() {
			Optional<byte[]> block = this.runner.extension().content(nanos());
			for (Daemon other : DutyReplay.this.daemons) {
				if (other != this) {
					deliver(other, () -> {
						other.heardMs.put(this.name, DutyReplay.this.nowMs);
						other.runner.extension().onContent(this.name, "dc", block, nanos());
					});
				}
			}
		}

		@Override
		public Map<String, Boolean> live(long nowNanos) {
			this.heardMs.values().removeIf((heard) -> DutyReplay.this.nowMs - heard > LIVE_MS);
			Map<String, Boolean> live = new HashMap<>();
			this.heardMs.keySet().forEach((one) -> live.put(one, true));
			return live;
		}

		@Override
		public int localCount() {
			return DutyReplay.this.daemons.size() - 1;
		}

		@Override
		public boolean isComplete(long nowNanos) {
			return !this.heardMs.isEmpty();
		}

		@Override
		public void send(byte[] notice, String receiver) {
			DutyReplay.this.daemons.stream()
				.filter((one) -> one.name.equals(receiver))
				.forEach((one) -> deliver(one, () -> one.runner.onNotice(DutyNotice.decode(notice).orElseThrow())));
		}

		private void call(Runnable carriedOut, Runnable unanswered) {
			DutyReplay.this.callCount++;
			if (this.turnedAway) {
				answer(2, unanswered);
				return;
			}
			if (!DutyReplay.this.storeUp) {
				answer(CALL_TIMEOUT_MS, unanswered);
				return;
			}
			at(DutyReplay.this.nowMs + 1 + DutyReplay.this.random.nextInt(4), carriedOut);
		}

		private void answer(long delayMs, Runnable outcome) {
			int running = this.incarnation;
			at(Math.max(DutyReplay.this.nowMs + delayMs, this.frozenUntilMs), () -> {
				if (this.incarnation == running && !this.stopped) {
					outcome.run();
					check();
				}
			});
		}

		@Override
		public void append(long at, byte[] content, Consumer<AppendOutcome> callback) {
			call(() -> {
				boolean matches = at == DutyReplay.this.log.size();
				if (matches) {
					DutyReplay.this.log.add(content);
				}
				answer(1 + DutyReplay.this.random.nextInt(4), () -> callback
					.accept((matches) ? new AppendOutcome.Appended(1, at) : new AppendOutcome.Conflict()));
			}, () -> callback.accept(new AppendOutcome.Unknown("timeout")));
		}

		@Override
		public void readLast(Consumer<Optional<LastRecord>> callback) {
			call(() -> {
				int last = DutyReplay.this.log.size() - 1;
				byte[] content = (last < 0) ? new byte[0] : DutyReplay.this.log.get(last);
				answer(1 + DutyReplay.this.random.nextInt(4),
						() -> callback.accept(Optional.of(new LastRecord(1, last, content))));
			}, () -> callback.accept(Optional.empty()));
		}

	}

}
