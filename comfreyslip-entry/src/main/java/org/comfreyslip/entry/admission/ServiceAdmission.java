package org.comfreyslip.entry.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.comfreyslip.entry.admission.ServiceRates.AccountKey;
import org.comfreyslip.entry.admission.ServiceRates.PriorityRates;

/**
 * Rates and shares of one service at this daemon.
 */
final class ServiceAdmission {

	/**
	 * Averaging time of the rates by priority, in ns: the share has to follow a burst
	 * within about a second.
	 */
	private static final long AVERAGING_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	/**
	 * Averaging time of the demand of accounts, in ns: an account has few requests at one
	 * daemon.
	 */
	private static final long ACCOUNT_AVERAGING_NANOS = TimeUnit.SECONDS.toNanos(8);

	/** Interval at which the shares are computed, in ns. */
	private static final long SHARE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Interval at which the demand of accounts is added up, in ns. */
	private static final long ACCOUNT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time without refusals for lack of capacity after which nothing is held back, in ns.
	 */
	static final long SHORTAGE_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Part of the work let through that finds no capacity, from which other daemons count
	 * as short of capacity.
	 */
	private static final double MIN_REFUSED_PART = 0.01;

	/**
	 * Part by which the work let through exceeds the capacity where the free room is not
	 * known, so that refusals for lack of capacity show that no capacity is idle.
	 */
	private static final double MARGIN = 0.12;

	/** Further part while almost no refusals for lack of capacity occur. */
	private static final double RELEASE = 1.2;

	/** Refused part from which no further part is let through. */
	private static final double RELEASE_REFUSED_PART = 0.06;

	/**
	 * Weight of the daemons with older rates, those of the other data centres, in the
	 * part that gets capacity. Data centres that use the same engines would otherwise
	 * keep an uneven division, since each lets through what it got before.
	 */
	private static final double COMMON_WEIGHT = 0.6;

	/**
	 * Averaging time of the part of a priority, in ns. The level of the accounts rises
	 * ever faster with the part, so that by the noise of the part alone large accounts
	 * would get more than their share.
	 */
	private static final long STEADY_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Deviation from its average with which a new part counts at once. */
	private static final double MAX_DEVIATION = 0.35;

	/**
	 * Number of mean requests whose room stays free for the most urgent ones, because
	 * loads are known late.
	 */
	private static final double SPARE_REQUESTS = 1;

	/** Time in which the room beyond that is to be filled, in s. */
	private static final double FILL_SECONDS = 0.3;

	/**
	 * Number of mean requests of free room from which requests that are held back fill
	 * it, whatever their priority and account: the pool is not short then.
	 */
	private static final double IDLE_REQUESTS = 4;

	/**
	 * Time in which the requests that are held back are to fill the room beyond that, in
	 * s: about twice the age of the loads. A shorter time overshoots.
	 */
	private static final double IDLE_FILL_SECONDS = 0.45;

	/** Smallest part that is let through. */
	private static final double MIN_SHARE = 0.05;

	/**
	 * Floor of each priority as a part of the share of all; a quarter of it must be
	 * reached in spite of the noise of the estimates.
	 */
	private static final double FLOOR = 0.3;

	/**
	 * Number of mean requests by which the estimate of the share is drawn towards 1, so
	 * that single refusals at few requests hold nothing back.
	 */
	private static final double PRIOR_REQUESTS = 3;

	/** Largest number of pairs of priority and account that are counted. */
	private static final int MAX_COUNTED_ACCOUNTS = 256;

	private final RandomGenerator random;

	private final Map<Integer, OwnRates> own = new HashMap<>();

	private final Map<AccountKey, DecayingRate> ownAccounts = new HashMap<>();

	/** Demand of all known daemons. */
	private Map<AccountKey, Double> accountDemands = new HashMap<>();

	private final Map<Integer, PriorityShare> shares = new TreeMap<>();

	/** Part of the demand that is let through; 1 if nothing is held back. */
	private double share = 1;

	/** Factor on what is let through, so that free room is filled; 1 without room. */
	private double fillFactor = 1;

	/** Part of the requests to be held back that is let through, to fill idle room. */
	private double idleFillPart;

	/** Mean work of a request. */
	private double meanWork;

	/** Whether capacity was ever short. */
	private boolean wasShort;

	private long lastShortNanos;

	private long sharesAtNanos;

	private long accountsAtNanos;

	ServiceAdmission(RandomGenerator random, long nowNanos) {
		this.random = random;
		this.sharesAtNanos = nowNanos - SHARE_INTERVAL_NANOS;
		this.accountsAtNanos = nowNanos - ACCOUNT_INTERVAL_NANOS;
	}

	private void recordArrival(int priority, int accountHash, double work, long nowNanos) {
		measured(priority, nowNanos).demand.add(work, nowNanos);
		this.meanWork = (this.meanWork > 0) ? 0.95 * this.meanWork + 0.05 * work : work;
		AccountKey key = new AccountKey(priority, accountHash);
		if (!this.ownAccounts.containsKey(key) && this.ownAccounts.size() >= MAX_COUNTED_ACCOUNTS) {
			this.ownAccounts.entrySet()
				.stream()
				.min(Comparator.comparingDouble((entry) -> entry.getValue().perSecond(nowNanos)))
				.ifPresent((least) -> this.ownAccounts.remove(least.getKey()));
		}
		this.ownAccounts.computeIfAbsent(key, (missing) -> new DecayingRate(ACCOUNT_AVERAGING_NANOS, nowNanos))
			.add(work, nowNanos);
	}

	void recordAdmitted(int priority, double work, long nowNanos) {
		measured(priority, nowNanos).admitted.add(work, nowNanos);
	}

	void recordNoCapacity(int priority, double work, long nowNanos) {
		measured(priority, nowNanos).refused.add(work, nowNanos);
		recordShortage(nowNanos);
	}

	void recordUnservable(int priority, double work, long nowNanos) {
		measured(priority, nowNanos).demand.add(-work, nowNanos);
	}

	private OwnRates measured(int priority, long nowNanos) {
		return this.own.computeIfAbsent(priority, (missing) -> new OwnRates(nowNanos));
	}

	// Handles the rates of a daemon of the same data centre.
	void onLocalRates(ServiceRates rates, long nowNanos) {
		if (rates.total().refusedPart() > MIN_REFUSED_PART) {
			recordShortage(nowNanos);
		}
	}

	private void recordShortage(long nowNanos) {
		this.wasShort = true;
		this.lastShortNanos = nowNanos;
	}

	boolean isShort(long nowNanos) {
		return this.wasShort && nowNanos - this.lastShortNanos < SHORTAGE_NANOS;
	}

	/**
	 * Returns the rates that this daemon measured.
	 * @param maxAccounts largest number of accounts; those with the largest demand count
	 * @param nowNanos the current elapsed time in ns
	 * @return the rates, at most {@link AdmissionBlock#MAX_PRIORITIES} priorities
	 */
	ServiceRates ownRates(long maxAccounts, long nowNanos) {
		TreeMap<Integer, PriorityRates> byPriority = new TreeMap<>();
		this.own.forEach((priority, rates) -> byPriority.put(priority, rates.at(nowNanos)));
		while (byPriority.size() > AdmissionBlock.MAX_PRIORITIES) {
			byPriority.pollLastEntry();
		}
		Map<AccountKey, Double> accounts = new HashMap<>();
		this.ownAccounts.entrySet()
			.stream()
			.map((entry) -> Map.entry(entry.getKey(), entry.getValue().perSecond(nowNanos)))
			.sorted(Map.Entry.<AccountKey, Double>comparingByValue().reversed())
			.limit(maxAccounts)
			.forEach((entry) -> accounts.put(entry.getKey(), entry.getValue()));
		return new ServiceRates(byPriority, accounts);
	}

	// Decides before the arrival is recorded, since the demand that a request meets would
	// otherwise include itself, most of all that of small accounts.
	Decision arrive(int priority, int accountHash, double work, PeerRates peers, DoubleSupplier freeWork,
			long nowNanos) {
		Decision decision = decide(priority, accountHash, peers, freeWork, nowNanos);
		recordArrival(priority, accountHash, work, nowNanos);
		return decision;
	}

	private Decision decide(int priority, int accountHash, PeerRates peers, DoubleSupplier freeWork, long nowNanos) {
		if (!isShort(nowNanos)) {
			this.share = 1;
			return Decision.ADMIT;
		}
		if (nowNanos - this.sharesAtNanos >= SHARE_INTERVAL_NANOS) {
			long sinceNanos = nowNanos - this.sharesAtNanos;
			this.sharesAtNanos = nowNanos;
			if (nowNanos - this.accountsAtNanos >= ACCOUNT_INTERVAL_NANOS) {
				this.accountsAtNanos = nowNanos;
				addUpAccounts(peers.rates(false), nowNanos);
			}
			computeShares(peers, freeWork.getAsDouble(), sinceNanos, nowNanos);
		}
		PriorityShare own = this.shares.get(priority);
		if (own == null || own.part() >= 1) {
			return Decision.ADMIT;
		}
		Double demand = this.accountDemands.get(new AccountKey(priority, accountHash));
		double part = (demand != null) ? own.partOf(demand) : 1;
		if (this.random.nextDouble() < part * this.fillFactor || this.random.nextDouble() < this.idleFillPart) {
			return Decision.ADMIT;
		}
		return (part < own.part()) ? Decision.HOLD_BACK_BY_ACCOUNT : Decision.HOLD_BACK_BY_PRIORITY;
	}

	// Returns the part of the demand that is let through; 1 if nothing is held back.
	double share(long nowNanos) {
		return (isShort(nowNanos)) ? this.share : 1;
	}

	String describeShares() {
		return this.shares.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + "=" + Math.round(entry.getValue().part() * 1_000) / 1_000.0)
			.collect(Collectors.joining(",", "{", "}"));
	}

	private void addUpAccounts(Collection<ServiceRates> reports, long nowNanos) {
		this.accountDemands = ownRates(MAX_COUNTED_ACCOUNTS, nowNanos).accountDemands();
		for (ServiceRates report : reports) {
			report.accountDemands().forEach((key, demand) -> this.accountDemands.merge(key, demand, Double::sum));
		}
		this.accountDemands.values().removeIf((demand) -> demand <= 0);
	}

	private void computeShares(PeerRates peers, double freeWork, long sinceNanos, long nowNanos) {
		this.share = 1;
		if (this.accountDemands.size() < 2) {
			this.shares.clear();
			return;
		}
		TreeMap<Integer, PriorityRates> sum = add(peers.rates(true), nowNanos);
		PriorityRates fresh = total(sum);
		PriorityRates all = total(add(peers.rates(false), nowNanos));
		double admittedPart = StrictMath.pow(admittedPart(fresh), 1 - COMMON_WEIGHT)
				* StrictMath.pow(admittedPart(all), COMMON_WEIGHT);
		double margin = (freeWork < 0) ? MARGIN + RELEASE * Math.max(0, 1 - fresh.refusedPart() / RELEASE_REFUSED_PART)
				: 0;
		this.share = Math.min(1, Math.max(MIN_SHARE, admittedPart * (1 + margin)));
		computeFill(freeWork, fresh.demand());
		double floor = FLOOR * this.share;
		double left = (this.share - floor) * fresh.demand();
		for (Map.Entry<Integer, PriorityRates> entry : sum.entrySet()) {
			double demand = entry.getValue().demand();
			double part = (demand * (1 - floor) <= left) ? 1 : floor + left / demand;
			left = Math.max(0, left - (part - floor) * demand);
			List<Double> accounts = this.accountDemands.entrySet()
				.stream()
				.filter((one) -> one.getKey().priority() == entry.getKey())
				.map(Map.Entry::getValue)
				.toList();
			double steady = steady(this.shares.get(entry.getKey()), part, sinceNanos);
			this.shares.put(entry.getKey(), new PriorityShare(steady, FairShares.level(accounts, steady)));
		}
	}

	// Lets through more while the pool has free room, first in proportion to the shares,
	// and if it is idle, without regard to them.
	private void computeFill(double freeWork, double demand) {
		double spare = Math.max(0, freeWork - SPARE_REQUESTS * this.meanWork);
		double letThrough = Math.max(this.meanWork, this.share * demand);
		this.fillFactor = 1 + spare / (letThrough * FILL_SECONDS);
		double idle = Math.max(0, freeWork - IDLE_REQUESTS * this.meanWork);
		double heldBack = Math.max(this.meanWork, (1 - this.share) * demand);
		this.idleFillPart = idle / (heldBack * IDLE_FILL_SECONDS);
	}

	private static double steady(PriorityShare before, double part, long sinceNanos) {
		if (before == null || Math.abs(part - before.part()) > MAX_DEVIATION) {
			return part;
		}
		return before.part() + (part - before.part()) * -StrictMath.expm1(-(double) sinceNanos / STEADY_NANOS);
	}

	private TreeMap<Integer, PriorityRates> add(Collection<ServiceRates> reports, long nowNanos) {
		TreeMap<Integer, PriorityRates> sum = new TreeMap<>();
		ownRates(0, nowNanos).addTo(sum);
		reports.forEach((report) -> report.addTo(sum));
		return sum;
	}

	private static PriorityRates total(Map<Integer, PriorityRates> byPriority) {
		return byPriority.values().stream().reduce(PriorityRates.NONE, PriorityRates::plus);
	}

	// Returns which part of the demand got capacity, drawn towards 1 at few requests.
	private double admittedPart(PriorityRates rates) {
		double prior = PRIOR_REQUESTS * this.meanWork * TimeUnit.SECONDS.toNanos(1) / AVERAGING_NANOS;
		return (rates.admitted() + prior) / (rates.demand() + prior);
	}

	/** Rates of other daemons for one service. */
	interface PeerRates {

		/**
		 * Returns the rates that are recent enough to be used.
		 * @param freshOnly whether to return only those that arrived about a second ago
		 * @return the rates
		 */
		Collection<ServiceRates> rates(boolean freshOnly);

	}

	/**
	 * What is let through of one priority.
	 *
	 * @param part part of its demand
	 * @param level work per second up to which each account is let through
	 */
	private record PriorityShare(double part, double level) {

		double partOf(double demand) {
			return Math.min(1, this.level / demand);
		}

	}

	private static final class OwnRates {

		private final DecayingRate demand;

		private final DecayingRate admitted;

		private final DecayingRate refused;

		OwnRates(long nowNanos) {
			this.demand = new DecayingRate(AVERAGING_NANOS, nowNanos);
			this.admitted = new DecayingRate(AVERAGING_NANOS, nowNanos);
			this.refused = new DecayingRate(AVERAGING_NANOS, nowNanos);
		}

		PriorityRates at(long nowNanos) {
			// Requests withdrawn from the demand may have arrived earlier.
			return new PriorityRates(Math.max(0, this.demand.perSecond(nowNanos)), this.admitted.perSecond(nowNanos),
					this.refused.perSecond(nowNanos));
		}

	}

}
