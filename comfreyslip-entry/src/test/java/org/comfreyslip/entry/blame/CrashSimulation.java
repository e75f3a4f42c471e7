package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.comfreyslip.entry.config.KeyedLog;
import org.comfreyslip.entry.peer.CrashNoticeCodec;
import org.comfreyslip.entry.peer.CrashNoticeSender;

/**
 * Plays daemons that send requests to engines, in simulated time. An engine ends when it
 * begins to answer a request of which {@link #crashes} is true, with all requests that it
 * has, and is replaced some seconds later.
 */
final class CrashSimulation {

	/** Time after which a machine that was disturbed counts as in touch again, in ms. */
	static final long CONTACT_MS = 3_000;

	private static final long REPLACEMENT_MS = 3_000;

	private static final long UPDATE_MS = 50;

	/** Time that a call to the store takes, in ms. */
	private static final long STORE_MS = 8;

	private static final double DATAGRAM_LOSS = 0.01;

	/** Time after which a caller sends a request again that failed, in ms. */
	private static final long RETRY_MS = 200;

	/** Time after its beginning after which an answer proves the request, in ms. */
	private static final long PROVEN_MS = 300;

	/** Unix time at the start of the simulation, in ms. */
	private static final long START_EPOCH_MS = 1_700_000_000_000L;

	private final SplittableRandom random;

	/** Newest values of the store's topic of causes, by key. */
	private final Map<String, byte[]> storedCauses = new TreeMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, Daemon> daemons = new TreeMap<>();

	private final List<String> daemonNames;

	private final List<Engine> engines = new ArrayList<>();

	/** Requests that reached an engine, in the order of their times. */
	private final List<Arrival> arrivals = new ArrayList<>();

	private final List<Result> results = new ArrayList<>();

	private final List<Long> crashTimesMs = new ArrayList<>();

	private Predicate<Set<String>> crashes = (traits) -> false;

	/** How often a caller sends a request again that failed. */
	private int retries = 1;

	private long nowMs;

	private int eventCount;

	private int requestCount;

	private int engineCount;

	CrashSimulation(int daemonCount, int engineCount, long seed) {
		this.random = new SplittableRandom(seed);
		for (int index = 0; index < daemonCount; index++) {
			this.daemons.put("d" + index, new Daemon("d" + index));
		}
		this.daemonNames = List.copyOf(this.daemons.keySet());
		for (int index = 0; index < engineCount; index++) {
			this.engines.add(newEngine());
		}
		List.copyOf(this.daemons.values()).forEach(Daemon::start);
	}

	private Engine newEngine() {
		this.engineCount++;
		return new Engine("e" + this.engineCount + "/1");
	}

	SplittableRandom random() {
		return this.random;
	}

	long nowMs() {
		return this.nowMs;
	}

	List<String> daemonNames() {
		return this.daemonNames;
	}

	void setCrashes(Predicate<Set<String>> value) {
		this.crashes = value;
	}

	void at(long atMs, Runnable action) {
		this.events.add(new Event(atMs, this.eventCount++, action));
	}

	// Sends requests at random times and to random daemons.
	void sendRequests(double perSecond, long fromMs, long untilMs, Supplier<Set<String>> traits) {
		for (double nextMs = fromMs + nextGapMs(perSecond); nextMs < untilMs; nextMs += nextGapMs(perSecond)) {
			at((long) nextMs, () -> {
				Daemon daemon = this.daemons.get(this.daemonNames.get(this.random.nextInt(this.daemonNames.size())));
				if (daemon.running) {
					daemon.receive(traits.get(), this.retries);
				}
			});
		}
	}

	private Daemon anyDaemon() {
		return this.daemons.get(this.daemonNames.get(this.random.nextInt(this.daemonNames.size())));
	}

	// Sends one request again and again, whatever becomes of it.
	void repeatRequest(Set<String> traits, long intervalMs, long fromMs, long untilMs) {
		for (long nextMs = fromMs; nextMs < untilMs; nextMs += intervalMs) {
			at(nextMs, () -> {
				Daemon daemon = anyDaemon();
				if (daemon.running) {
					daemon.receive(traits, 0);
				}
			});
		}
	}

	private double nextGapMs(double perSecond) {
		return -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
	}

	void play(long untilMs) {
		while (!this.events.isEmpty() && this.events.peek().atMs() < untilMs) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
		this.nowMs = untilMs;
	}

	// Ends engines that run, for a reason that no request has.
	void killEngines(int count) {
		List<Engine> running = new ArrayList<>(this.engines.stream().filter((engine) -> engine.running).toList());
		for (int left = count; left > 0 && !running.isEmpty(); left--) {
			running.remove(this.random.nextInt(running.size())).end();
		}
	}

	// The daemon sends and receives no datagrams for a time.
	void cutOff(String name, long forMs) {
		Daemon daemon = this.daemons.get(name);
		daemon.connected = false;
		daemon.disturb(this.nowMs + forMs);
		at(this.nowMs + forMs, () -> daemon.connected = true);
	}

	// The daemon does nothing for a time.
	void freeze(String name, long forMs) {
		Daemon daemon = this.daemons.get(name);
		daemon.running = false;
		daemon.disturb(this.nowMs + forMs);
		at(this.nowMs + forMs, () -> {
			daemon.running = true;
			daemon.scheduleUpdate();
		});
	}

	// The daemon loses its requests and what it knew.
	void restart(String name) {
		this.daemons.get(name).running = false;
		this.daemons.get(name).gone = true;
		Daemon next = new Daemon(name);
		next.running = false;
		this.daemons.put(name, next);
		next.disturb(this.nowMs + 800);
		at(this.nowMs + 800, () -> {
			next.running = true;
			next.start();
		});
	}

	List<Long> crashTimesMs() {
		return this.crashTimesMs;
	}

	// Counts the sends of requests in touch that reached an engine from a time on.
	long countArrivals(Predicate<Set<String>> traits, long fromMs) {
		return this.arrivals.stream()
			.filter((one) -> one.atMs() >= fromMs && one.inTouch() && traits.test(one.traits()))
			.count();
	}

	// Returns the part of the requests that arrived in a time and began at the first try.
	double shareBegun(Predicate<Set<String>> traits, long fromMs, long untilMs) {
		List<Result> counted = this.results.stream()
			.filter((one) -> one.arrivedMs() >= fromMs && one.arrivedMs() < untilMs && traits.test(one.traits()))
			.toList();
		return counted.stream().filter((one) -> one.outcome() == Outcome.BEGUN).count() / (double) counted.size();
	}

	long countRefused(Predicate<Set<String>> traits, long fromMs) {
		return this.results.stream()
			.filter((one) -> one.arrivedMs() >= fromMs && one.outcome() == Outcome.REFUSED_AS_CRASHING
					&& traits.test(one.traits()))
			.count();
	}

	long countServed(Predicate<Set<String>> traits, long fromMs) {
		return this.results.stream()
			.filter((one) -> one.arrivedMs() >= fromMs && one.outcome() == Outcome.BEGUN && traits.test(one.traits()))
			.count();
	}

	int mostConvictions() {
		return this.daemons.values().stream().mapToInt((daemon) -> daemon.blame.convictionCount()).max().orElse(0);
	}

	enum Outcome {

		BEGUN, REFUSED_AS_CRASHING, NO_ENGINE, FAILED

	}

	private record Arrival(long atMs, Set<String> traits, boolean inTouch) {
	}

	private record Result(long arrivedMs, Set<String> traits, Outcome outcome) {
	}

	private record Event(long atMs, int order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Integer.compare(this.order, other.order);
		}

	}

	private final class Engine {

		private final String id;

		private final Set<Request> requests = new LinkedHashSet<>();

		private boolean running = true;

		Engine(String id) {
			this.id = id;
		}

		void begin(Request request) {
			if (!this.running || !this.requests.contains(request)) {
				return;
			}
			if (CrashSimulation.this.crashes.test(request.traits)) {
				CrashSimulation.this.crashTimesMs.add(CrashSimulation.this.nowMs);
				end();
				return;
			}
			request.begunMs = CrashSimulation.this.nowMs;
			at(CrashSimulation.this.nowMs + 2_000 + CrashSimulation.this.random.nextInt(2_000),
					() -> this.requests.remove(request));
			at(CrashSimulation.this.nowMs + PROVEN_MS, () -> {
				if (this.running && request.daemon.running && !request.daemon.gone) {
					request.proven = true;
					request.daemon.blame.onAnswered(request.traits, request.daemon.nowNanos());
				}
			});
			request.finish((request.sends == 1) ? Outcome.BEGUN : Outcome.FAILED);
		}

		void end() {
			this.running = false;
			CrashSimulation.this.engines.remove(this);
			at(CrashSimulation.this.nowMs + REPLACEMENT_MS, () -> CrashSimulation.this.engines.add(newEngine()));
			Set<Daemon> affected = new LinkedHashSet<>();
			for (Request request : this.requests) {
				affected.add(request.daemon);
				at(CrashSimulation.this.nowMs + 1 + CrashSimulation.this.random.nextInt(3),
						() -> request.onBroken(this));
			}
			affected.forEach((daemon) -> at(CrashSimulation.this.nowMs + 3 + CrashSimulation.this.random.nextInt(6),
					() -> daemon.onRefused(this)));
		}

	}

	private final class Request {

		private final String id;

		private final Daemon daemon;

		private final Set<String> traits;

		private final int retriesLeft;

		private final long arrivedMs;

		private final Set<String> brokenAt = new HashSet<>();

		private int sends;

		private long begunMs = -1;

		private boolean proven;

		private boolean finished;

		Request(String id, Daemon daemon, Set<String> traits, int retriesLeft) {
			this.id = id;
			this.retriesLeft = retriesLeft;
			this.daemon = daemon;
			this.traits = traits;
			this.arrivedMs = CrashSimulation.this.nowMs;
		}

		void dispatch() {
			if (this.daemon.gone) {
				return;
			}
			if (this.daemon.blame.refusalMs(this.traits, this.daemon.nowNanos()).isPresent()) {
				finish((this.sends == 0) ? Outcome.REFUSED_AS_CRASHING : Outcome.FAILED);
				return;
			}
			List<Engine> running = CrashSimulation.this.engines;
			if (running.isEmpty()) {
				finish(Outcome.NO_ENGINE);
				return;
			}
			this.sends++;
			Engine engine = running.get(CrashSimulation.this.random.nextInt(running.size()));
			engine.requests.add(this);
			CrashSimulation.this.arrivals
				.add(new Arrival(CrashSimulation.this.nowMs, this.traits, this.daemon.isInTouch()));
			at(CrashSimulation.this.nowMs + 40 + CrashSimulation.this.random.nextInt(300), () -> engine.begin(this));
		}

		void onBroken(Engine engine) {
			if (this.daemon.gone || !this.daemon.running) {
				return;
			}
			boolean isSuspect = !this.proven
					&& (this.begunMs < 0 || CrashSimulation.this.nowMs - this.begunMs < PROVEN_MS);
			if (isSuspect) {
				this.daemon.blame.onSendBroken(engine.id, new SuspectRequest(this.id, this.traits),
						this.daemon.nowNanos());
			}
			if (isSuspect && (!this.brokenAt.isEmpty()
					|| !this.daemon.blame.mayRepeat(this.traits, this.daemon.nowNanos()))) {
				finish(Outcome.FAILED);
				return;
			}
			this.brokenAt.add(engine.id);
			this.begunMs = -1;
			dispatch();
		}

		void finish(Outcome outcome) {
			if (!this.finished) {
				this.finished = true;
				CrashSimulation.this.results.add(new Result(this.arrivedMs, this.traits, outcome));
				if (outcome == Outcome.FAILED && this.retriesLeft > 0) {
					at(CrashSimulation.this.nowMs + RETRY_MS,
							() -> anyDaemon().receive(this.traits, this.retriesLeft - 1));
				}
			}
		}

	}

	private final class Daemon {

		private final String name;

		private final CrashBlame blame;

		private final CrashNoticeSender sender;

		private final CauseKeeper keeper;

		/** Offset of its steady clock, which differs from those of the others. */
		private final long clockOffsetNanos;

		private boolean running = true;

		private boolean connected = true;

		private boolean gone;

		private long disturbedUntilMs = -CONTACT_MS;

		Daemon(String name) {
			this.name = name;
			this.clockOffsetNanos = CrashSimulation.this.random.nextLong(1L << 40);
			this.blame = new CrashBlame(name, nowNanos());
			this.sender = new CrashNoticeSender(this.blame, CrashSimulation.this.random.split(), nowNanos());
			this.keeper = new CauseKeeper(this.blame, new CauseLog(this), this::writeCause, nowNanos());
		}

		private void writeCause(String key, byte[] value, Consumer<Boolean> done) {
			at(CrashSimulation.this.nowMs + STORE_MS, () -> {
				if (value.length > 0) {
					CrashSimulation.this.storedCauses.put(key, value);
				}
				else {
					CrashSimulation.this.storedCauses.remove(key);
				}
				done.accept(true);
			});
		}

		long nowNanos() {
			return this.clockOffsetNanos + TimeUnit.MILLISECONDS.toNanos(CrashSimulation.this.nowMs);
		}

		void start() {
			this.keeper.update(nowNanos(), START_EPOCH_MS + CrashSimulation.this.nowMs);
			at(CrashSimulation.this.nowMs + CrashSimulation.this.random.nextInt(200), this::updatePeers);
			scheduleUpdate();
		}

		void disturb(long untilMs) {
			this.disturbedUntilMs = Math.max(this.disturbedUntilMs, untilMs);
		}

		boolean isInTouch() {
			return CrashSimulation.this.nowMs - this.disturbedUntilMs >= CONTACT_MS;
		}

		private void updatePeers() {
			if (this.gone) {
				return;
			}
			if (this.running) {
				Map<String, Daemon> peers = new TreeMap<>(CrashSimulation.this.daemons);
				peers.remove(this.name);
				peers.values().removeIf((peer) -> !peer.running || !peer.connected || !this.connected);
				this.blame.setPeers(peers.keySet());
			}
			at(CrashSimulation.this.nowMs + 1_000, this::updatePeers);
		}

		void scheduleUpdate() {
			at(CrashSimulation.this.nowMs + CrashSimulation.this.random.nextInt((int) UPDATE_MS), this::update);
		}

		private void update() {
			if (!this.running || this.gone) {
				return;
			}
			for (CrashNoticeSender.Outgoing<String> outgoing : this.sender
				.update(() -> CrashSimulation.this.daemonNames, nowNanos())) {
				byte[] datagram = CrashNoticeCodec.encode(outgoing.notice());
				CrashNotice decoded = CrashNoticeCodec.decode(datagram).orElseThrow();
				for (String target : outgoing.targets()) {
					if (this.connected && !target.equals(this.name)
							&& CrashSimulation.this.random.nextDouble() >= DATAGRAM_LOSS) {
						at(CrashSimulation.this.nowMs + 1 + CrashSimulation.this.random.nextInt(4), () -> {
							Daemon receiver = CrashSimulation.this.daemons.get(target);
							if (receiver.running && receiver.connected) {
								receiver.blame.onNotice(decoded, receiver.nowNanos());
							}
						});
					}
				}
			}
			this.keeper.update(nowNanos(), START_EPOCH_MS + CrashSimulation.this.nowMs);
			at(CrashSimulation.this.nowMs + UPDATE_MS, this::update);
		}

		// A daemon reads no requests before it has read the causes.
		void receive(Set<String> traits, int retriesLeft) {
			if (!this.keeper.hasRead()) {
				at(CrashSimulation.this.nowMs + STORE_MS, () -> receive(traits, retriesLeft));
				return;
			}
			CrashSimulation.this.requestCount++;
			new Request("r" + CrashSimulation.this.requestCount, this, traits, retriesLeft).dispatch();
		}

		void onRefused(Engine engine) {
			if (this.running && !this.gone) {
				this.blame.onEndpointEnded(engine.id, nowNanos());
			}
		}

	}

	/** The store's topic of causes, as a daemon reads it at its start. */
	private final class CauseLog implements KeyedLog {

		private final Daemon daemon;

		CauseLog(Daemon daemon) {
			this.daemon = daemon;
		}

		@Override
		public void readNewest(Optional<String> afterKey, Consumer<Outcome> done) {
			at(CrashSimulation.this.nowMs + STORE_MS, () -> {
				List<KeyedRecord> records = new ArrayList<>();
				CrashSimulation.this.storedCauses
					.forEach((key, value) -> records.add(new KeyedRecord(key, Optional.of(value), 0)));
				if (!this.daemon.gone) {
					done.accept(new Outcome.Page(records, 0, 0, false, 0));
				}
			});
		}

		@Override
		public void read(long fromOffset, long waitMs, Consumer<Outcome> done) {
			throw new UnsupportedOperationException("the causes are read only at the start");
		}

	}

}
