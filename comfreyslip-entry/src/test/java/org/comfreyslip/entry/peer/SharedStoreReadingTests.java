package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.embedded.EmbeddedChannel;
import org.comfreyslip.entry.config.FeedReader;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.config.KeyedLog;
import org.comfreyslip.entry.config.ReadIntervals;
import org.comfreyslip.entry.config.StoreReading;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the daemons that read the store together, in simulated time. They guard
 * against revoked keys that stay accepted, and endpoints that left and are still used,
 * because the daemon that reads for the others falls silent; and against calls to the
 * store that rise with the number of daemons.
 */
class SharedStoreReadingTests {

	/** Age of the configuration up to which API keys are accepted, in ms. */
	private static final long KEY_FRESHNESS_MS = 5_000;

	/** Time after which a leaving endpoint must be known to all daemons, in ms. */
	private static final long DRAIN_MS = 2_000;

	/** Time after which a configuration must be in force at all daemons, in ms. */
	private static final long CONFIG_APPLY_MS = 2_000;

	private static final long STEP_MS = 5;

	/** Interval at which the daemons read messages, in ms. */
	private static final long POLL_INTERVAL_MS = 40;

	/** Time in which all daemons find each other, in ms. */
	private static final long START_MS = 6_000;

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.2", 7_340);

	private final EmbeddedChannel timer = new EmbeddedChannel();

	private final Store store = new Store();

	private final List<Daemon> daemons = new ArrayList<>();

	private final SplittableRandom random = new SplittableRandom(7);

	private long nowMs = 1_000;

	private long largestAgeMs;

	private void start(int daemonCount, int dataCentres) {
		this.timer.freezeTime();
		this.store.append("config", 1);
		this.store.append("endpoints", 20);
		for (int index = 0; index < daemonCount; index++) {
			this.daemons.add(new Daemon("d" + index, "dc" + index % dataCentres));
		}
		this.daemons.forEach(Daemon::start);
		runFor(START_MS);
		this.store.calls = 0;
		this.largestAgeMs = 0;
	}

	private void runFor(long ms) {
		long end = this.nowMs + ms;
		while (this.nowMs < end) {
			this.nowMs += STEP_MS;
			this.timer.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
			this.timer.runScheduledPendingTasks();
			for (Daemon daemon : this.daemons) {
				if (daemon.running) {
					if (this.nowMs % POLL_INTERVAL_MS == 0) {
						daemon.poll();
					}
					this.largestAgeMs = Math.max(this.largestAgeMs, daemon.configurationAgeMs());
				}
			}
		}
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMs);
	}

	private List<Daemon> readers() {
		return this.daemons.stream().filter((daemon) -> daemon.running && daemon.reading().reads()).toList();
	}

	private boolean allKnow(String topic) {
		int end = this.store.records(topic).size();
		return this.daemons.stream()
			.filter((daemon) -> daemon.running)
			.allMatch((daemon) -> daemon.feed(topic).nextOffset() >= end);
	}

	@ParameterizedTest
	@CsvSource({ "95, 5", "390, 7" })
	void inCalmTheCallsRiseWithTheDataCentresAndNotWithTheDaemons(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		runFor(10_000);
		assertThat(readers()).hasSize(dataCentres);
		assertThat(this.store.calls / 10.0 / dataCentres).isLessThan(4);
		assertThat(this.largestAgeMs).isLessThan(KEY_FRESHNESS_MS);
	}

	@Test
	void inADataCentreWithTwoDaemonsEachReadsForItself() {
		start(6, 3);
		assertThat(readers()).hasSize(6);
		assertThat(this.daemons).allSatisfy((daemon) -> assertThat(daemon.reading().followers()).isZero());
	}

	@ParameterizedTest
	@CsvSource({ "7, 3", "95, 5", "390, 7" })
	void aConfigurationAndALeavingEndpointAreKnownEverywhereInTime(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		this.store.append("config", 1);
		runFor(CONFIG_APPLY_MS);
		assertThat(allKnow("config")).isTrue();
		this.store.append("endpoints", 1);
		runFor(DRAIN_MS);
		assertThat(allKnow("endpoints")).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "95, 5", "390, 7" })
	void aLeavingEndpointIsKnownInTimeAlthoughTheReadersHaveJustFrozen(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		readers().forEach((reader) -> reader.running = false);
		this.store.append("endpoints", 1);
		runFor(DRAIN_MS);
		assertThat(allKnow("endpoints")).isTrue();
		runFor(6_000);
		assertThat(readers()).hasSize(dataCentres);
		assertThat(this.largestAgeMs).isLessThan(KEY_FRESHNESS_MS);
	}

	@ParameterizedTest
	@CsvSource({ "95, 5", "390, 7" })
	void aReaderThatTheStoreTurnsAwayIsReplacedWhileKeysStayFresh(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		List<Daemon> before = readers();
		before.forEach((reader) -> reader.refused = true);
		runFor(2_000);
		assertThat(readers()).hasSize(dataCentres).doesNotContainAnyElementsOf(before);
		this.store.append("endpoints", 1);
		runFor(DRAIN_MS);
		assertThat(allKnow("endpoints")).isTrue();
		assertThat(this.largestAgeMs).isLessThan(KEY_FRESHNESS_MS);
	}

	@ParameterizedTest
	@CsvSource({ "8, 2", "95, 5", "390, 7" })
	void aLeavingEndpointIsKnownInTimeAlthoughTheReadersGetNoMoreResponses(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		List<Daemon> cutOff = readers();
		cutOff.forEach((reader) -> reader.silenced = true);
		runFor(50);
		this.store.append("endpoints", 1);
		runFor(DRAIN_MS);
		assertThat(this.daemons).filteredOn((daemon) -> !cutOff.contains(daemon))
			.allSatisfy((daemon) -> assertThat(daemon.feed("endpoints").nextOffset()).isEqualTo(21));
		assertThat(this.largestAgeMs).isLessThan(KEY_FRESHNESS_MS);
	}

	// Writes configurations one after the other, so that the knowledge of all daemons is
	// fresh and none reads because of its age.
	private void writeConfigurations() {
		for (int version = 0; version < 3; version++) {
			this.store.append("config", 1);
			runFor(300);
		}
	}

	// Guards against daemons that wait for a reader that has ended, while a configuration
	// has been accepted.
	@ParameterizedTest
	@CsvSource({ "8, 3", "95, 5", "390, 7" })
	void aConfigurationIsKnownInTimeAlthoughTheReadersHaveJustEnded(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		writeConfigurations();
		readers().forEach((reader) -> reader.running = false);
		runFor(100);
		this.store.append("config", 1);
		runFor(CONFIG_APPLY_MS);
		assertThat(allKnow("config")).isTrue();
	}

	// Guards against the same at any moment between two reads and two messages.
	@Test
	void aConfigurationIsKnownInTimeWheneverTheReadersEnd() {
		start(8, 3);
		for (int round = 0; round < 60; round++) {
			writeConfigurations();
			runFor(this.random.nextInt(3_000));
			List<Daemon> ended = readers();
			ended.forEach((reader) -> reader.running = false);
			runFor(this.random.nextInt(1_500));
			this.store.append("config", 1);
			runFor(CONFIG_APPLY_MS);
			assertThat(allKnow("config")).as("round %d", round).isTrue();
			ended.forEach((reader) -> reader.running = true);
			runFor(4_000);
		}
	}

	// Guards against daemons that wait for a reader that gets no responses.
	@ParameterizedTest
	@CsvSource({ "8, 2", "95, 5", "390, 7" })
	void aConfigurationIsKnownInTimeAlthoughTheReadersGetNoMoreResponses(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		writeConfigurations();
		List<Daemon> cutOff = readers();
		cutOff.forEach((reader) -> reader.silenced = true);
		runFor(50);
		this.store.append("config", 1);
		runFor(CONFIG_APPLY_MS);
		assertThat(this.daemons).filteredOn((daemon) -> !cutOff.contains(daemon))
			.allSatisfy((daemon) -> assertThat(daemon.feed("config").nextOffset()).isEqualTo(5));
	}

	// Guards against daemons that follow one which has just started and reads slowly.
	@ParameterizedTest
	@CsvSource({ "8, 3", "95, 5", "390, 7" })
	void aConfigurationIsKnownInTimeAlthoughTheReadersHaveJustStartedAgain(int daemonCount, int dataCentres) {
		start(daemonCount, dataCentres);
		List<Daemon> ended = readers();
		ended.forEach((reader) -> reader.running = false);
		runFor(6_000);
		writeConfigurations();
		List<Daemon> restarted = ended.stream().map((daemon) -> new Daemon(daemon.name, daemon.dataCentre)).toList();
		restarted.forEach((daemon) -> daemon.responseMs = 2_500);
		this.daemons.removeAll(ended);
		this.daemons.addAll(restarted);
		restarted.forEach(Daemon::start);
		runFor(1_500);
		this.store.append("config", 1);
		runFor(CONFIG_APPLY_MS);
		assertThat(this.daemons).filteredOn((daemon) -> !restarted.contains(daemon))
			.allSatisfy((daemon) -> assertThat(daemon.feed("config").nextOffset()).isEqualTo(5));
	}

	@Test
	void aLeavingEndpointIsKnownInTimeAlthoughTheRelayIsLost() {
		start(95, 5);
		this.daemons.forEach((daemon) -> daemon.losesRelays = true);
		this.store.append("endpoints", 1);
		runFor(DRAIN_MS);
		assertThat(allKnow("endpoints")).isTrue();
	}

	@Test
	void whileTheStoreIsAwayFollowersSeldomCallItAndAllAreConfirmedSoonAfterItsReturn() {
		start(95, 5);
		this.store.down = true;
		runFor(10_000);
		assertThat(this.store.calls / 10.0).isLessThan(95);
		this.store.down = false;
		this.store.calls = 0;
		this.store.append("config", 1);
		runFor(CONFIG_APPLY_MS);
		assertThat(allKnow("config")).isTrue();
		assertThat(this.daemons).allSatisfy((daemon) -> assertThat(daemon.configurationAgeMs()).isLessThan(3_000));
		assertThat(this.store.calls).isLessThan(4 * 95);
	}

	@Test
	void allDaemonsReadAnewWhenTheStoreComesBackFromAnOlderCopy() {
		start(95, 5);
		this.store.goBack("endpoints", 5);
		runFor(DRAIN_MS);
		assertThat(this.daemons).allSatisfy((daemon) -> {
			assertThat(daemon.feed("endpoints").era()).isEqualTo(2);
			assertThat(daemon.feed("config").era()).isEqualTo(2);
			assertThat(daemon.feed("endpoints").nextOffset()).isEqualTo(15);
		});
	}

	/** The store: two topics with long polls. */
	private static final class Store {

		private final Map<String, List<KeyedLog.KeyedRecord>> topics = new HashMap<>();

		private final List<Runnable> waiting = new ArrayList<>();

		private int calls;

		private boolean down;

		private long era = 1;

		private List<KeyedLog.KeyedRecord> records(String topic) {
			return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
		}

		private void append(String topic, int count) {
			List<KeyedLog.KeyedRecord> records = records(topic);
			for (int added = 0; added < count; added++) {
				records.add(new KeyedLog.KeyedRecord("k" + records.size(), Optional.of(new byte[300]), records.size()));
			}
			wake();
		}

		private void goBack(String topic, int lost) {
			List<KeyedLog.KeyedRecord> records = records(topic);
			records.subList(records.size() - lost, records.size()).clear();
			this.era++;
			wake();
		}

		private void wake() {
			List<Runnable> woken = List.copyOf(this.waiting);
			this.waiting.clear();
			woken.forEach(Runnable::run);
		}

	}

	/** One daemon: its feeds, its readers of the store and its messages. */
	private final class Daemon {

		private final String name;

		private final String dataCentre;

		private final PeerTable table;

		private final Map<String, KeyedFeed> feeds = new LinkedHashMap<>();

		private final ReadingRole role;

		private boolean reachedStoreInLastRound;

		private Future<?> nextRound;

		private boolean running = true;

		private boolean refused;

		/** Whether no response of the store arrives. */
		private boolean silenced;

		private boolean losesRelays;

		/** Time that a response of the store takes, in ms. */
		private long responseMs = 4;

		private long nextRemoteRoundMs;

		Daemon(String name, String dataCentre) {
			this.name = name;
			this.dataCentre = dataCentre;
			this.table = new PeerTable(dataCentre);
			this.role = new ReadingRole(dataCentre, name, this.table, () -> CONFIG_APPLY_MS);
			this.feeds.put("config", new KeyedFeed());
			this.feeds.put("endpoints", new KeyedFeed());
		}

		private KeyedFeed feed(String topic) {
			return this.feeds.get(topic);
		}

		private long configurationAgeMs() {
			long age = feed("config").ageNanos(nowNanos());
			return (age == Long.MAX_VALUE) ? 0 : TimeUnit.NANOSECONDS.toMillis(age);
		}

		private void start() {
			startReader("config", new ReadIntervals(2_000, 2_000, 0, 3_200, true), 0);
			startReader("endpoints", PeerExchange.REGISTRATION_INTERVALS, 150);
			this.nextRound = schedule(SharedStoreReadingTests.this.random.nextInt(200), this::sendRound);
		}

		private StoreReading reading() {
			return this.role.current();
		}

		private boolean isStoreReachable() {
			return this.feeds.values().stream().allMatch((feed) -> feed.hasBeenRead() && !feed.isStoreUnavailable());
		}

		// As PeerExchange does.
		private void poll() {
			if (this.role.isReaderLost(nowNanos())) {
				this.role.update(isStoreReachable(), nowNanos());
			}
			if (reading().followers() > 0 && this.reachedStoreInLastRound && !isStoreReachable()) {
				sendRound();
			}
		}

		private void startReader(String topic, ReadIntervals intervals, long relayGraceMs) {
			new FeedReader(SharedStoreReadingTests.this.timer.eventLoop(), topic, new Log(this, topic), feed(topic),
					SharedStoreReadingTests.this::nowNanos, (update) -> relay(topic, update), intervals, this::reading,
					relayGraceMs)
				.start();
		}

		private Future<?> schedule(long ms, Runnable task) {
			return SharedStoreReadingTests.this.timer.eventLoop().schedule(task, ms, TimeUnit.MILLISECONDS);
		}

		private void relay(String topic, KeyedFeed.Update update) {
			boolean relays = topic.equals("endpoints") && update.snapshotKeys().isEmpty() && reading().followers() > 0;
			if (!relays) {
				return;
			}
			for (RegistrationRelay relay : RegistrationRelay.split(this.name, feed(topic).era(), false,
					update.records())) {
				RegistrationRelay received = RegistrationRelay.decode(relay.encode()).orElseThrow();
				for (Daemon other : SharedStoreReadingTests.this.daemons) {
					if (other != this && other.dataCentre.equals(this.dataCentre)) {
						schedule(2, () -> other.onRelay(received));
					}
				}
			}
		}

		private void onRelay(RegistrationRelay relay) {
			if (this.running && !this.losesRelays) {
				feed("endpoints").onRelayedRecords(relay.era(), relay.records());
			}
		}

		private void sendRound() {
			this.nextRound.cancel(false);
			this.nextRound = schedule(PeerSchedule.roundIntervalMs(reading()), this::sendRound);
			if (!this.running) {
				return;
			}
			boolean reachable = isStoreReachable();
			this.reachedStoreInLastRound = reachable;
			this.role.update(reachable, nowNanos());
			long now = SharedStoreReadingTests.this.nowMs;
			boolean includeRemote = now >= this.nextRemoteRoundMs;
			if (includeRemote) {
				this.nextRemoteRoundMs = now
						+ PeerSchedule.remoteIntervalMs(SharedStoreReadingTests.this.daemons.size() - 1);
			}
			Map<String, Long> echoes = new HashMap<>();
			this.table.targets().forEach((target) -> echoes.put(target.name(), target.echoNanos()));
			for (Daemon other : SharedStoreReadingTests.this.daemons) {
				if (other != this && (includeRemote || other.dataCentre.equals(this.dataCentre))) {
					PeerMessage message = new PeerMessage(this.name, this.dataCentre, nowNanos(),
							echoes.getOrDefault(other.name, 0L), feed("config").position(0, nowNanos()), Map.of(),
							Map.of(), List.of(), Map.of(), feed("endpoints")
								.position(PeerExchange.REGISTRATION_INTERVALS.currentNanos(reading()), nowNanos()),
							reachable, false, List.of(), Map.of());
					schedule(1 + SharedStoreReadingTests.this.random.nextInt(4), () -> other.onMessage(message));
				}
			}
		}

		private void onMessage(PeerMessage message) {
			if (!this.running) {
				return;
			}
			long now = nowNanos();
			this.table.onMessage(message, ADDRESS, now);
			feed("config").onPeerPosition(message.configuration(),
					message.confirmedAtNanos(message.configuration(), now), now);
			feed("endpoints").onPeerPosition(message.registrations(),
					message.confirmedAtNanos(message.registrations(), now), now);
		}

	}

	/** A daemon's access to a topic. */
	private final class Log implements KeyedLog {

		/** Longest wait for a response after the wait at the store, in ms. */
		private static final long TIMEOUT_MS = 700;

		private final Daemon daemon;

		private final String topic;

		Log(Daemon daemon, String topic) {
			this.daemon = daemon;
			this.topic = topic;
		}

		private void respond(Consumer<Outcome> done, Outcome outcome) {
			this.daemon.schedule(this.daemon.responseMs, () -> {
				if (this.daemon.running && !this.daemon.silenced) {
					done.accept(outcome);
				}
			});
		}

		private void expire(Consumer<Outcome> done, long waitMs) {
			this.daemon.schedule(waitMs + TIMEOUT_MS, () -> {
				if (this.daemon.running && this.daemon.silenced) {
					done.accept(new Outcome.Unavailable("no response"));
				}
			});
		}

		private boolean isTurnedAway(Consumer<Outcome> done, long waitMs) {
			Store store = SharedStoreReadingTests.this.store;
			store.calls++;
			expire(done, waitMs);
			boolean turnedAway = store.down || this.daemon.refused;
			if (turnedAway) {
				respond(done, new Outcome.Unavailable("status 503"));
			}
			return turnedAway;
		}

		@Override
		public void readNewest(Optional<String> afterKey, Consumer<Outcome> done) {
			if (!isTurnedAway(done, 0)) {
				Store store = SharedStoreReadingTests.this.store;
				List<KeyedRecord> records = List.copyOf(store.records(this.topic));
				respond(done, new Outcome.Page(records, records.size(), records.size(), false, store.era));
			}
		}

		@Override
		public void read(long fromOffset, long waitMs, Consumer<Outcome> done) {
			if (isTurnedAway(done, waitMs)) {
				return;
			}
			Store store = SharedStoreReadingTests.this.store;
			boolean[] answered = new boolean[1];
			Runnable answer = () -> {
				if (!answered[0]) {
					answered[0] = true;
					respond(done, page(fromOffset));
				}
			};
			if (waitMs == 0 || store.records(this.topic).size() != fromOffset) {
				answer.run();
			}
			else {
				store.waiting.add(answer);
				this.daemon.schedule(waitMs, answer);
			}
		}

		private Outcome page(long fromOffset) {
			Store store = SharedStoreReadingTests.this.store;
			List<KeyedRecord> records = store.records(this.topic);
			if (store.down || this.daemon.refused) {
				return new Outcome.Unavailable("connection reset");
			}
			if (fromOffset > records.size()) {
				return new Outcome.Expired();
			}
			return new Outcome.Page(List.copyOf(records.subList((int) fromOffset, records.size())), records.size(),
					records.size(), false, store.era);
		}

	}

}
