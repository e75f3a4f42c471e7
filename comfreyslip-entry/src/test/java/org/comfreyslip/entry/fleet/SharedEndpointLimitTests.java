package org.comfreyslip.entry.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.config.TopicPosition;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.peer.PeerMessage;
import org.comfreyslip.entry.peer.PeerSchedule;
import org.comfreyslip.entry.peer.PeerTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays the sends of daemons in three data centres, which learn from responses and from
 * each other that an endpoint takes a limited rate of requests from all of them. Guards
 * against an endpoint that gets more requests than that from the daemons that know it.
 */
class SharedEndpointLimitTests {

	private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

	/** The endpoint that states a limit; in data centre a. */
	private static final Endpoint LIMITED = Samples.plain("limited", 1, false);

	/** Takes what the other one does not. */
	private static final Endpoint UNLIMITED = new Endpoint("unlimited", 1, 1, "archive",
			new InetSocketAddress("10.0.0.2", 8_080), "b", false, Optional.empty(), Optional.empty());

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.3", 7_340);

	/** Requests a second that each daemon gets on average. */
	private static final double REQUESTS_PER_DAEMON = 4;

	/** One in so many requests is sent a second time. */
	private static final int REPEAT_ONE_IN = 10;

	private static final long LIMIT_FROM_MS = 10_000;

	private static final long LIMIT_TO_MS = 40_000;

	/** Time from the first statement of the limit from which it has to be kept. */
	private static final long GRACE_MS = 3_000;

	/**
	 * Time from a daemon's first response with the limit from which its sends count.
	 */
	private static final long HEARD_MS = 500;

	private static final long WINDOW_MS = 4_000;

	private final SplittableRandom random = new SplittableRandom(21);

	private final Map<String, Daemon> daemons = new TreeMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Arrival> arrivals = new ArrayList<>();

	private long nowMs;

	private int eventCount;

	private double limit;

	private long limitToMs = LIMIT_TO_MS;

	/** Daemons that get requests from callers. */
	private Predicate<Daemon> hasCallers = (daemon) -> true;

	private int refusedCount;

	private int sentElsewhereCount;

	private void startDaemons(int count) {
		for (int index = 0; index < count; index++) {
			startDaemon("d" + index, DATA_CENTRES.get(index % DATA_CENTRES.size()));
		}
	}

	private Daemon startDaemon(String name, String dataCentre) {
		Daemon daemon = new Daemon(name, dataCentre);
		this.daemons.put(name, daemon);
		daemon.scheduleRound(this.random.nextInt(200));
		return daemon;
	}

	private void at(long atMs, Runnable action) {
		this.events.add(new Event(atMs, this.eventCount++, action));
	}

	private void play(long untilMs) {
		for (; this.nowMs < untilMs; this.nowMs++) {
			while (!this.events.isEmpty() && this.events.peek().atMs() <= this.nowMs) {
				this.events.poll().action().run();
			}
			for (Daemon daemon : List.copyOf(this.daemons.values())) {
				if (this.hasCallers.test(daemon) && this.random.nextDouble() < REQUESTS_PER_DAEMON / 1_000) {
					daemon.send();
				}
			}
		}
	}

	private boolean isLimitStated() {
		return this.nowMs >= LIMIT_FROM_MS && this.nowMs < this.limitToMs;
	}

	// Returns the most requests in a window from daemons that know the limit.
	private int mostInWindow() {
		List<Arrival> counted = this.arrivals.stream()
			.filter((arrival) -> arrival.counts() && arrival.atMs() >= LIMIT_FROM_MS + GRACE_MS
					&& arrival.atMs() < this.limitToMs)
			.toList();
		int most = 0;
		for (Arrival first : counted) {
			long from = first.atMs();
			most = Math.max(most,
					(int) counted.stream()
						.filter((one) -> one.atMs() >= from && one.atMs() < from + WINDOW_MS)
						.count());
		}
		return most;
	}

	private int allowedInWindow() {
		return (int) (1.5 * this.limit * WINDOW_MS / 1_000 + 5);
	}

	private long countArrivals(long fromMs, long toMs) {
		return this.arrivals.stream().filter((one) -> one.atMs() >= fromMs && one.atMs() < toMs).count();
	}

	@ParameterizedTest
	@CsvSource({ "7, 0", "7, 0.5", "7, 2.2", "7, 4", "7, 12", "79, 0", "79, 0.5", "79, 2.2", "79, 4", "79, 30" })
	void anEndpointGetsNoMoreRequestsThanItsLimitFromAllDaemonsTogether(int daemonCount, double requestsPerSecond) {
		this.limit = requestsPerSecond;
		startDaemons(daemonCount);
		play(LIMIT_TO_MS);
		assertThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow());
	}

	@ParameterizedTest
	@CsvSource({ "7, 2.2", "7, 4", "79, 2.2", "79, 4", "79, 30" })
	void whatALimitAllowsIsUsedAndTheRestIsServedElsewhere(int daemonCount, double requestsPerSecond) {
		this.limit = requestsPerSecond;
		startDaemons(daemonCount);
		play(LIMIT_TO_MS);
		long usedFromMs = LIMIT_FROM_MS + GRACE_MS;
		double perSecond = 1_000.0 * countArrivals(usedFromMs, LIMIT_TO_MS) / (LIMIT_TO_MS - usedFromMs);
		assertThat(perSecond).isBetween(0.6 * requestsPerSecond, 1.1 * requestsPerSecond);
		assertThat(this.refusedCount).isZero();
		assertThat(this.sentElsewhereCount).isPositive();
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 79 })
	void theLimitIsKeptWhileDaemonsJoin(int daemonCount) {
		this.limit = 2.2;
		startDaemons(daemonCount);
		for (int index = 0; index < 4; index++) {
			int added = index;
			at(18_000 + index * 3_000, () -> startDaemon("added" + added, "a"));
		}
		play(LIMIT_TO_MS);
		assertThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow());
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 79 })
	void theLimitIsKeptAndUsedWhenTheDaemonsThatUsedItLeave(int daemonCount) {
		this.limit = 2.2;
		startDaemons(daemonCount);
		at(20_000,
				() -> this.arrivals.stream()
					.filter((one) -> one.atMs() > 16_000)
					.map(Arrival::daemon)
					.distinct()
					.limit(daemonCount / 4)
					.forEach(this.daemons::remove));
		play(LIMIT_TO_MS);
		assertThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow());
		assertThat(countArrivals(30_000, LIMIT_TO_MS)).isGreaterThanOrEqualTo((long) (0.6 * this.limit * 10));
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 79 })
	void theLimitIsKeptWhileADaemonThatUsedItFreezesAndWakes(int daemonCount) {
		this.limit = 2.2;
		startDaemons(daemonCount);
		at(20_000, () -> {
			Daemon frozen = this.daemons.remove(this.arrivals.get(this.arrivals.size() - 1).daemon());
			frozen.excused = true;
			at(26_000, () -> {
				this.daemons.put(frozen.name, frozen);
				frozen.scheduleRound(0);
			});
			at(26_000 + GRACE_MS, () -> frozen.excused = false);
		});
		play(LIMIT_TO_MS);
		assertThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow());
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 79 })
	void theLimitIsKeptWhileADaemonDoesNotHearTheOthers(int daemonCount) {
		this.limit = 2.2;
		startDaemons(daemonCount);
		at(5_000, () -> this.daemons.get("d0").hears = false);
		play(LIMIT_TO_MS);
		assertThat(mostInWindow()).isLessThanOrEqualTo(allowedInWindow());
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 79 })
	void aLimitThatIsNotStatedAnyMoreEndsForAllDaemons(int daemonCount) {
		this.limit = 2.2;
		this.limitToMs = 20_000;
		startDaemons(daemonCount);
		play(LIMIT_TO_MS);
		assertThat(countArrivals(16_000, 20_000)).isLessThanOrEqualTo(allowedInWindow());
		long before = countArrivals(6_000, LIMIT_FROM_MS);
		assertThat(countArrivals(32_000, 36_000)).isGreaterThan(before / 2);
	}

	@Test
	void anEndpointIsUsedAgainByOtherDataCentresWhenItsOwnHasNoCallersDuringALimit() {
		this.limit = 2.2;
		this.limitToMs = 20_000;
		startDaemons(7);
		at(15_000, () -> this.hasCallers = (daemon) -> !daemon.dataCentre.equals("a"));
		play(120_000);
		assertThat(countArrivals(22_000, 120_000)).isPositive();
	}

	/**
	 * A request that arrived at the limited endpoint.
	 *
	 * @param atMs when it arrived
	 * @param daemon name of the daemon that sent it
	 * @param counts whether the daemon was told of the limit long enough ago
	 */
	private record Arrival(long atMs, String daemon, boolean counts) {
	}

	/**
	 * Something that happens at a time; events of the same time in their order.
	 */
	private record Event(long atMs, int order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Integer.compare(this.order, other.order);
		}

	}

	private final class Daemon {

		private final String name;

		private final String dataCentre;

		private final PeerTable table;

		private final EndpointLimits limits;

		private final LeastWaitSelector selector = new LeastWaitSelector(new EndpointFaults(), new PlainLoads(0),
				SharedEndpointLimitTests.this.random.split());

		private long nextRemoteRoundMs;

		private long toldAtMs = Long.MAX_VALUE;

		private boolean hears = true;

		private boolean excused;

		Daemon(String name, String dataCentre) {
			this.name = name;
			this.dataCentre = dataCentre;
			this.table = new PeerTable(dataCentre);
			this.limits = new EndpointLimits(name, dataCentre, nowNanos());
		}

		private long nowNanos() {
			return TimeUnit.MILLISECONDS.toNanos(SharedEndpointLimitTests.this.nowMs);
		}

		private boolean isRunning() {
			return SharedEndpointLimitTests.this.daemons.get(this.name) == this;
		}

		void scheduleRound(long delayMs) {
			at(SharedEndpointLimitTests.this.nowMs + delayMs, () -> {
				if (isRunning()) {
					sendRound();
				}
			});
		}

		private void sendRound() {
			long now = SharedEndpointLimitTests.this.nowMs;
			int peerCount = SharedEndpointLimitTests.this.daemons.size() - 1;
			long remoteIntervalMs = PeerSchedule.remoteIntervalMs(peerCount);
			this.limits.setPeers(this.table.livePeers(nowNanos()), false, PeerSchedule.settlingNanos(peerCount),
					nowNanos());
			boolean includeRemote = now >= this.nextRemoteRoundMs;
			if (includeRemote) {
				this.nextRemoteRoundMs = now + remoteIntervalMs;
			}
			PeerMessage message = new PeerMessage(this.name, this.dataCentre, nowNanos(), 0, TopicPosition.UNKNOWN,
					new HashMap<>(), Map.of(), List.of(), this.limits.ownStatements(nowNanos()), TopicPosition.UNKNOWN,
					true, true, List.of(), Map.of());
			for (Daemon other : SharedEndpointLimitTests.this.daemons.values()) {
				if (other != this && (includeRemote || other.dataCentre.equals(this.dataCentre))) {
					at(now + 1 + SharedEndpointLimitTests.this.random.nextInt(4), () -> other.receive(message));
				}
			}
			scheduleRound(PeerSchedule.localIntervalMs(this.table.countLocalPeers()));
		}

		private void receive(PeerMessage message) {
			if (this.hears && isRunning()) {
				this.table.onMessage(message, ADDRESS, nowNanos());
				message.limits().forEach((id, statement) -> this.limits.onPeerStatement(id, statement, nowNanos()));
			}
		}

		void send() {
			List<Endpoint> candidates = List.of(LIMITED, UNLIMITED)
				.stream()
				.filter((endpoint) -> this.limits.maySend(endpoint, nowNanos()))
				.toList();
			// The limited endpoint is preferred as long as it may be used.
			Optional<Endpoint> chosen = (candidates.contains(LIMITED)) ? Optional.of(LIMITED)
					: this.selector.choose(candidates, List.of(), this.dataCentre, nowNanos());
			if (chosen.isEmpty()) {
				SharedEndpointLimitTests.this.refusedCount++;
				return;
			}
			this.limits.recordSend(chosen.get().id(), nowNanos());
			if (!chosen.get().equals(LIMITED)) {
				SharedEndpointLimitTests.this.sentElsewhereCount++;
				return;
			}
			long sentAtMs = SharedEndpointLimitTests.this.nowMs;
			at(sentAtMs + 1, () -> SharedEndpointLimitTests.this.arrivals
				.add(new Arrival(sentAtMs + 1, this.name, !this.excused && this.toldAtMs < sentAtMs - HEARD_MS)));
			at(sentAtMs + 300 + SharedEndpointLimitTests.this.random.nextInt(1_200), () -> onResponse(sentAtMs));
		}

		private void onResponse(long sentAtMs) {
			if (!isRunning()) {
				return;
			}
			boolean limited = isLimitStated();
			if (limited) {
				this.toldAtMs = Math.min(this.toldAtMs, SharedEndpointLimitTests.this.nowMs);
			}
			this.limits.onResponse(LIMITED.id(),
					(limited) ? OptionalDouble.of(SharedEndpointLimitTests.this.limit) : OptionalDouble.empty(), true,
					TimeUnit.MILLISECONDS.toNanos(sentAtMs), nowNanos());
			if (SharedEndpointLimitTests.this.random.nextInt(REPEAT_ONE_IN) == 0) {
				send();
			}
		}

	}

}
