package org.comfreyslip.entry.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.peer.PeerSchedule;

/**
 * Daemons in three data centres, which decide about streams for one pool of capacity in
 * simulated time and hear of each other as often as {@link PeerSchedule} says. Streams
 * arrive at random, take part of the pool for 2.5 s in the mean, and are not repeated.
 */
final class AdmissionSimulation {

	/** Mean work of a stream, in tokens times layers. */
	static final double MEAN_WORK = 1_000 * 80;

	/** Mean duration of a stream, in ms. */
	private static final long STREAM_MS = 2_500;

	/**
	 * Age of what the daemons know of the load of the pool, in ms: the interval of the
	 * messages of 32 daemons in one data centre.
	 */
	private static final int REPORT_LAG_MS = 250;

	/** Size above which a request is in the largest tenth, as a multiple of the mean. */
	private static final double LARGE_SIZE = 1.6;

	private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

	final SplittableRandom random;

	final List<Daemon> daemons = new ArrayList<>();

	/** Streams that the pool holds at the mean size. */
	final int streams;

	/** Demand by priority, as a multiple of the capacity. */
	double[] demand = { 0.6, 0.8, 0.6 };

	/** Part of the pool that is there. */
	double capacityPart = 1;

	/** Number of accounts; their demand is in inverse proportion to their rank. */
	int accounts = 24;

	boolean enabled = true;

	/** Daemons from here on are of an earlier release. */
	int firstOldDaemon = Integer.MAX_VALUE;

	/** Part of the requests that finds no path for other reasons than capacity. */
	double otherRefusals;

	/** Whether such refusals are recorded as what they are, not as a shortage. */
	boolean causesKnown = true;

	/** Equal parts of the pool, in one of which a stream must fit. */
	int parts = 1;

	/** Whether the daemons know the free room of the pool. */
	boolean roomKnown = true;

	/** Whether messages arrive. */
	boolean connected = true;

	long nowMs;

	private double used;

	private final Map<Integer, Double> usedByPart = new HashMap<>();

	/** Free work of the pool by time, of the last {@link #REPORT_LAG_MS}. */
	private final double[] freeBefore = new double[REPORT_LAG_MS];

	private double shadowUsed;

	private final PriorityQueue<Stream> running = new PriorityQueue<>(Comparator.comparingLong(Stream::endMs));

	/** Streams held back that would have had room until now, the newest last. */
	private final List<Stream> shadows = new ArrayList<>();

	/** Requests refused although they would have had room to their end. */
	int refusedWhileFree;

	int refused;

	int heldBack;

	/** Work by priority. */
	final double[] offered = new double[3];

	final double[] served = new double[3];

	/** Work of the largest tenth of the requests by priority. */
	private final double[] offeredLarge = new double[3];

	private final double[] servedLarge = new double[3];

	/** Work by account and priority. */
	final Map<String, Double> offeredByAccount = new HashMap<>();

	final Map<String, Double> servedByAccount = new HashMap<>();

	int largestBlock;

	AdmissionSimulation(int daemonCount, int streams, long seed) {
		this.random = new SplittableRandom(seed);
		this.streams = streams;
		for (int index = 0; index < daemonCount; index++) {
			this.daemons.add(new Daemon(index));
		}
	}

	long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMs);
	}

	double capacity() {
		return this.capacityPart * this.streams * MEAN_WORK;
	}

	void play(long ms) {
		for (long endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs++) {
			while (!this.running.isEmpty() && this.running.peek().endMs() <= this.nowMs) {
				Stream ended = this.running.remove();
				this.used -= ended.work();
				this.usedByPart.merge(ended.part(), -ended.work(), Double::sum);
			}
			endShadows();
			this.freeBefore[(int) (this.nowMs % REPORT_LAG_MS)] = usableFreeWork();
			this.daemons.forEach(Daemon::exchange);
			for (int priority = 0; priority < 3; priority++) {
				double perMs = this.demand[priority] * this.streams / STREAM_MS;
				for (double left = perMs; left > 0; left--) {
					if (this.random.nextDouble() < left) {
						arrive(priority);
					}
				}
			}
		}
	}

	void resetCounts() {
		this.refused = 0;
		this.heldBack = 0;
		this.refusedWhileFree = 0;
		this.shadows.clear();
		this.shadowUsed = 0;
		for (int priority = 0; priority < 3; priority++) {
			this.offered[priority] = 0;
			this.served[priority] = 0;
			this.offeredLarge[priority] = 0;
			this.servedLarge[priority] = 0;
		}
		this.offeredByAccount.clear();
		this.servedByAccount.clear();
	}

	// As in FreeRoom, less than a mean request in a part counts as no room.
	private double usableFreeWork() {
		double free = 0;
		for (int part = 0; part < this.parts; part++) {
			free += Math.max(0, capacity() / this.parts - this.usedByPart.getOrDefault(part, 0.0) - MEAN_WORK);
		}
		return free;
	}

	// The oldest entry is overwritten next.
	private double knownFreeWork() {
		return (!this.roomKnown) ? -1 : this.freeBefore[(int) ((this.nowMs + 1) % REPORT_LAG_MS)];
	}

	private void endShadows() {
		for (Iterator<Stream> each = this.shadows.iterator(); each.hasNext();) {
			Stream shadow = each.next();
			if (shadow.endMs() <= this.nowMs) {
				this.refusedWhileFree++;
				this.shadowUsed -= shadow.work();
				each.remove();
			}
		}
	}

	private void arrive(int priority) {
		double size = 0.25 + 1.5 * this.random.nextDouble();
		double work = MEAN_WORK * size;
		long endMs = this.nowMs + this.random.nextLong(STREAM_MS / 2, STREAM_MS * 3 / 2);
		String account = drawAccount();
		String key = priority + "/" + account;
		this.offered[priority] += work;
		this.offeredByAccount.merge(key, work, Double::sum);
		double large = (size > LARGE_SIZE) ? work : 0;
		this.offeredLarge[priority] += large;
		Daemon daemon = this.daemons.get(this.random.nextInt(this.daemons.size()));
		if (daemon.decide(priority, account, work) != Decision.ADMIT) {
			this.refused++;
			this.heldBack++;
			if (this.used + this.shadowUsed + work <= capacity()) {
				this.shadows.add(new Stream(endMs, work, 0));
				this.shadowUsed += work;
			}
			return;
		}
		if (this.otherRefusals > 0 && this.random.nextDouble() < this.otherRefusals) {
			this.refused++;
			if (this.causesKnown) {
				daemon.control.recordUnservable("model", priority, work, nowNanos());
			}
			else {
				daemon.record(priority, work, false);
			}
			return;
		}
		int part = leastUsedPart();
		boolean room = this.usedByPart.getOrDefault(part, 0.0) + work <= capacity() / this.parts;
		daemon.record(priority, work, room);
		if (!room) {
			this.refused++;
			return;
		}
		this.used += work;
		this.usedByPart.merge(part, work, Double::sum);
		this.running.add(new Stream(endMs, work, part));
		while (this.used + this.shadowUsed > capacity() && !this.shadows.isEmpty()) {
			this.shadowUsed -= this.shadows.remove(this.shadows.size() - 1).work();
		}
		this.served[priority] += work;
		this.servedLarge[priority] += large;
		this.servedByAccount.merge(key, work, Double::sum);
	}

	private int leastUsedPart() {
		int least = 0;
		for (int part = 1; part < this.parts; part++) {
			if (this.usedByPart.getOrDefault(part, 0.0) < this.usedByPart.getOrDefault(least, 0.0)) {
				least = part;
			}
		}
		return least;
	}

	private String drawAccount() {
		double total = 0;
		for (int rank = 1; rank <= this.accounts; rank++) {
			total += 1.0 / rank;
		}
		double point = this.random.nextDouble() * total;
		int rank = 0;
		while (point > 0 && rank < this.accounts) {
			rank++;
			point -= 1.0 / rank;
		}
		return "account-" + rank;
	}

	double servedPart(int priority) {
		return this.served[priority] / this.offered[priority];
	}

	double servedPartOfLarge(int priority) {
		return this.servedLarge[priority] / this.offeredLarge[priority];
	}

	double servedPart() {
		return (this.served[0] + this.served[1] + this.served[2])
				/ (this.offered[0] + this.offered[1] + this.offered[2]);
	}

	/**
	 * Returns how unfair the worst account of a priority is served.
	 * @param priority the priority
	 * @return the least work served of an account in proportion to its max-min fair share
	 * of the work served of the priority
	 */
	double leastPartOfFairShare(int priority) {
		Map<String, Double> demands = new HashMap<>();
		this.offeredByAccount.forEach((key, work) -> {
			if (key.startsWith(priority + "/")) {
				demands.put(key, work);
			}
		});
		double level = FairShares.level(demands.values(), servedPart(priority));
		return demands.entrySet()
			.stream()
			.mapToDouble((entry) -> this.servedByAccount.getOrDefault(entry.getKey(), 0.0)
					/ Math.min(level, entry.getValue()))
			.min()
			.orElseThrow();
	}

	private record Stream(long endMs, double work, int part) {
	}

	final class Daemon {

		private final int index;

		private final String dataCentre;

		AdmissionControl control;

		Daemon(int index) {
			this.index = index;
			this.dataCentre = DATA_CENTRES.get(index % 3);
			restart();
		}

		void restart() {
			this.control = new AdmissionControl(this.dataCentre, AdmissionSimulation.this.random.split());
		}

		private boolean takesPart() {
			return AdmissionSimulation.this.enabled && this.index < AdmissionSimulation.this.firstOldDaemon;
		}

		private Decision decide(int priority, String account, double work) {
			Decision decision = this.control.decide("model", priority, account, work, false,
					AdmissionSimulation.this::knownFreeWork, nowNanos());
			return (takesPart()) ? decision : Decision.ADMIT;
		}

		private void record(int priority, double work, boolean room) {
			if (room) {
				this.control.recordAdmitted("model", priority, work, nowNanos());
			}
			else {
				this.control.recordNoCapacity("model", priority, work, nowNanos());
			}
		}

		private void exchange() {
			int count = AdmissionSimulation.this.daemons.size();
			long shiftedMs = AdmissionSimulation.this.nowMs + this.index * 37L;
			boolean local = shiftedMs % PeerSchedule.localIntervalMs(count / 3) == 0;
			boolean remote = shiftedMs % PeerSchedule.remoteIntervalMs(count - 1) == 0;
			if (!(local || remote) || !AdmissionSimulation.this.connected) {
				return;
			}
			Optional<byte[]> block = (takesPart()) ? this.control.content(nowNanos()) : Optional.empty();
			AdmissionSimulation.this.largestBlock = Math.max(AdmissionSimulation.this.largestBlock,
					block.map((one) -> one.length).orElse(0));
			for (Daemon other : AdmissionSimulation.this.daemons) {
				boolean same = other.dataCentre.equals(this.dataCentre);
				if (other != this && ((same) ? local : remote)) {
					other.control.onContent("daemon-" + this.index, this.dataCentre, block, nowNanos());
				}
			}
		}

	}

}
