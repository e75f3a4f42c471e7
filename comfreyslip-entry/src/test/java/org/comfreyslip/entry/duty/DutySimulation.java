package org.comfreyslip.entry.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.peer.PeerSchedule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Daemons that always have orders to give, and a store, in simulated time. At each moment
 * at most one daemon may give orders; the simulation fails if there are two.
 */
final class DutySimulation {

	private static final long TICK_MS = 10;

	private static final long CALL_TIMEOUT_MS = 700;

	/** Time after which a silent daemon is dropped from the lists of live ones. */
	private static final long DROPPED_MS = 2_500;

	private final SplittableRandom random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<String, Daemon> byName = new HashMap<>();

	private final int dataCentres;

	private final List<DutyRecord> log = new ArrayList<>();

	private long era = 1;

	boolean storeUp = true;

	/** Whether a daemon of an earlier release is alive, which sends no block. */
	boolean earlierRelease;

	/** Whether the daemons watch for daemons of earlier releases. */
	private boolean watching;

	/**
	 * Share of appends that are lost, or whose answers are, or that run late, and of
	 * datagrams that are lost.
	 */
	double lossRate;

	private long now = 1_000;

	private long eventCount;

	/** Time at which a holder ended last. */
	private long holderEndedMs;

	/** Longest time without orders since the last end of a holder. */
	long longestGapMs;

	private long lastOrdersMs;

	DutySimulation(int count, int dataCentres, long seed) {
		this.random = new SplittableRandom(seed);
		this.dataCentres = dataCentres;
		for (int number = 0; number < count; number++) {
			this.daemons.add(new Daemon(number));
		}
		this.daemons.forEach((daemon) -> daemon.start(0));
		every(5, this::check);
	}

	private void at(long timeMs, Runnable action) {
		this.events.add(new Event(timeMs, this.eventCount++, action));
	}

	private void every(long ms, Runnable action) {
		at(this.now + ms, () -> {
			action.run();
			every(ms, action);
		});
	}

	void runFor(long ms) {
		long end = this.now + ms;
		while (this.events.peek().timeMs() < end) {
			Event next = this.events.poll();
			this.now = next.timeMs();
			next.action().run();
		}
		this.now = end;
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.now);
	}

	private void check() {
		List<String> ordering = this.daemons.stream()
			.filter((daemon) -> daemon.isRunning() && daemon.duty.mayOrder(nanos()))
			.map((daemon) -> daemon.name)
			.toList();
		assertThat(ordering).as("daemons that may give orders at %s", this.now).hasSizeLessThan(2);
		if (!ordering.isEmpty()) {
			long since = Math.max(this.lastOrdersMs, this.holderEndedMs);
			this.longestGapMs = (this.lastOrdersMs != 0) ? Math.max(this.longestGapMs, this.now - since) : 0;
			this.lastOrdersMs = this.now;
		}
	}

	long msWithoutOrders() {
		return this.now - this.lastOrdersMs;
	}

	int recordCount() {
		return this.log.size();
	}

	Daemon holder() {
		return this.daemons.stream()
			.filter((daemon) -> daemon.isRunning() && daemon.duty.isHolder())
			.max((one, other) -> Long.compare(one.duty.fencingToken(), other.duty.fencingToken()))
			.orElse(this.daemons.get(0));
	}

	void startEarlierRelease() {
		this.earlierRelease = true;
		this.watching = true;
	}

	// Restarts daemons other than the holder in series.
	void restartOthers(int count) {
		for (int restarts = 0; restarts < count; restarts++) {
			Daemon chosen = this.daemons.get(this.random.nextInt(this.daemons.size()));
			if (chosen != holder() && !chosen.stopped) {
				chosen.stop(1_000);
			}
			runFor(300);
		}
	}

	void goBack(int lostRecords) {
		this.log.subList(Math.max(0, this.log.size() - lostRecords), this.log.size()).clear();
		this.era++;
	}

	// Ends the holder, or another daemon, by one of three ways, and lets it rejoin.
	void endOne() {
		Daemon chosen = (this.random.nextBoolean()) ? holder()
				: this.daemons.get(this.random.nextInt(this.daemons.size()));
		if (!chosen.isRunning() || chosen.leaving) {
			return;
		}
		if (chosen == holder()) {
			this.holderEndedMs = this.now;
		}
		switch (this.random.nextInt(3)) {
			case 0 -> chosen.stop(3_000 + this.random.nextInt(5_000));
			case 1 -> chosen.leave();
			default -> chosen.freeze(300 + this.random.nextInt(5_000));
		}
	}

	private void callStore(Daemon daemon, PlacementDuty duty, DutyCall call) {
		boolean append = call instanceof DutyCall.Append;
		boolean disturbed = append && this.random.nextDouble() < this.lossRate;
		boolean carriedOut = this.storeUp && (!disturbed || this.random.nextBoolean());
		long late = (disturbed) ? this.random.nextInt(3_000) : 0;
		if (carriedOut) {
			at(this.now + 1 + this.random.nextInt(5) + late,
					() -> carryOut(daemon, duty, call, late == 0, this.random.nextInt(5)));
		}
		if (!carriedOut || late > 0) {
			answer(daemon, CALL_TIMEOUT_MS, duty::onNoAnswer);
		}
	}

	private void answer(Daemon daemon, long delayMs, Runnable outcome) {
		at(Math.max(this.now + delayMs, daemon.frozenUntil), () -> {
			outcome.run();
			check();
			if (daemon.isRunning() && (daemon.duty.isHolder() || daemon.leaving && !daemon.told)) {
				daemon.told |= daemon.leaving && !daemon.duty.isHolder();
				daemon.notifyStandbys();
			}
		});
	}

	private void carryOut(Daemon daemon, PlacementDuty duty, DutyCall call, boolean answered, long delayMs) {
		long answerEra = this.era;
		Runnable outcome;
		if (call instanceof DutyCall.Append append) {
			boolean matches = append.at() == this.log.size();
			if (matches) {
				this.log.add(append.content());
			}
			outcome = (matches) ? () -> duty.onAppended(answerEra, append.at(), nanos()) : duty::onConflict;
		}
		else {
			int last = this.log.size() - 1;
			Optional<DutyRecord> content = (last < 0) ? Optional.empty() : Optional.of(this.log.get(last));
			outcome = () -> duty.onLastRecord(answerEra, last, content, nanos());
		}
		if (answered) {
			answer(daemon, delayMs, outcome);
		}
	}

	/** One daemon. */
	final class Daemon {

		private final int number;

		private final String dataCentre;

		private int incarnation;

		private String name = "";

		private PlacementDuty duty;

		private DutyStandbys standbys;

		private ReleaseWatch watch = new ReleaseWatch();

		private boolean stopped = true;

		private boolean leaving;

		private boolean told;

		private long stoppedMs;

		private long frozenUntil;

		private Daemon(int number) {
			this.number = number;
			this.dataCentre = "dc" + number % DutySimulation.this.dataCentres;
		}

		private void start(long delayMs) {
			at(DutySimulation.this.now + delayMs, () -> {
				DutySimulation.this.byName.remove(this.name);
				this.name = "d" + this.number + "#" + this.incarnation;
				DutySimulation.this.byName.put(this.name, this);
				this.duty = new PlacementDuty(this.name, nanos());
				this.standbys = new DutyStandbys();
				this.watch = new ReleaseWatch();
				this.stopped = false;
				this.leaving = false;
				this.told = false;
				this.incarnation++;
				int running = this.incarnation;
				repeat(running, TICK_MS, this::tick);
				repeat(running, PlacementDuty.NOTICE_INTERVAL_MS, this::sendNotices);
				int locals = DutySimulation.this.daemons.size() / DutySimulation.this.dataCentres - 1;
				repeat(running, PeerSchedule.localIntervalMs(locals), () -> passOn(true));
				repeat(running, PeerSchedule.remoteIntervalMs(DutySimulation.this.daemons.size()), () -> passOn(false));
			});
		}

		private void repeat(int running, long intervalMs, Runnable action) {
			long phaseMs = DutySimulation.this.random.nextLong(intervalMs);
			at(DutySimulation.this.now + phaseMs, () -> repeatNow(running, intervalMs, action));
		}

		private void repeatNow(int running, long intervalMs, Runnable action) {
			if (this.incarnation == running && !this.stopped) {
				boolean frozen = !isRunning();
				if (!frozen) {
					action.run();
				}
				long next = (frozen) ? this.frozenUntil : DutySimulation.this.now + intervalMs;
				at(next, () -> repeatNow(running, intervalMs, action));
			}
		}

		boolean isRunning() {
			return !this.stopped && DutySimulation.this.now >= this.frozenUntil;
		}

		void stop(long rejoinsAfterMs) {
			this.stopped = true;
			this.stoppedMs = DutySimulation.this.now;
			start(rejoinsAfterMs);
		}

		void freeze(long ms) {
			this.frozenUntil = DutySimulation.this.now + ms;
		}

		void leave() {
			this.leaving = true;
			at(DutySimulation.this.now + 500, () -> stop(3_000));
		}

		private void tick() {
			int locals = DutySimulation.this.daemons.size() / DutySimulation.this.dataCentres - 1;
			this.duty
				.takeCall(!this.leaving && mayUseRecords(), true, PlacementDuty.outsiderSilenceNanos(locals),
						this.number, nanos())
				.ifPresent((call) -> callStore(this, this.duty, call));
		}

		private boolean mayUseRecords() {
			if (DutySimulation.this.watching) {
				List<String> live = new ArrayList<>(
						(DutySimulation.this.earlierRelease) ? List.of("earlier") : List.of());
				DutySimulation.this.daemons.stream()
					.filter((one) -> one != this && !one.stopped)
					.forEach((one) -> live.add(one.name));
				this.watch.update(live, nanos());
			}
			return !DutySimulation.this.watching || this.watch.mayUseRecords(nanos());
		}

		private void sendNotices() {
			if (this.duty.isHolder()) {
				notifyStandbys();
			}
		}

		private void notifyStandbys() {
			long dropped = DutySimulation.this.now - DROPPED_MS;
			List<String> candidates = DutySimulation.this.daemons.stream()
				.filter((one) -> one != this && !one.leaving && (!one.stopped || one.stoppedMs > dropped))
				.map((one) -> one.name)
				.toList();
			this.standbys.nextReceivers(candidates)
				.forEach((receiver, rank) -> this.duty.noticeTo(rank)
					.ifPresent((notice) -> deliver(DutySimulation.this.byName.get(receiver), notice)));
		}

		private void passOn(boolean local) {
			Optional<Boolean> block = Optional.of(this.watch.knowsNoEarlierRelease());
			DutySimulation.this.daemons.stream()
				.filter((other) -> other != this && local == other.dataCentre.equals(this.dataCentre))
				.forEach((other) -> other.watch.onMessage(this.name, block));
			this.duty.notice(nanos()).ifPresent((notice) -> DutySimulation.this.daemons.forEach((other) -> {
				if (other != this && local == other.dataCentre.equals(this.dataCentre)) {
					deliver(other, notice);
				}
			}));
		}

		private void deliver(Daemon receiver, DutyNotice notice) {
			boolean lost = DutySimulation.this.random.nextDouble() < DutySimulation.this.lossRate;
			if (receiver != null && !receiver.stopped && !lost) {
				PlacementDuty known = receiver.duty;
				long due = Math.max(DutySimulation.this.now + 1, receiver.frozenUntil);
				at(due, () -> known.onNotice(notice, nanos()));
			}
		}

	}

	private record Event(long timeMs, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.timeMs != other.timeMs) ? Long.compare(this.timeMs, other.timeMs)
					: Long.compare(this.number, other.number);
		}

	}

}
