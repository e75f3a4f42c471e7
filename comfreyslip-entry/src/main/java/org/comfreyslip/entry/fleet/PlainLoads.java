package org.comfreyslip.entry.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Requests of all daemons at the endpoints of plain services: the sends, response times
 * and failures of the last seconds. The figures of the other daemons are up to several
 * seconds old; each counts less the older it is.
 */
public final class PlainLoads {

	/** Time constant of the sums of sends, in ms; several intervals of the messages. */
	static final double SENDS_WINDOW_MS = 2_000;

	/**
	 * Time constant of the sums of response times, in ms: short, so that an endpoint that
	 * turns slow is noticed within a second.
	 */
	static final double TIMES_WINDOW_MS = 700;

	/**
	 * Time constant of the sums of failures, in ms: long, since an endpoint that fails
	 * gets few requests.
	 */
	private static final double FAILURES_WINDOW_MS = 8_000;

	/** Time in which a report loses half of its weight, in ns. */
	private static final double HALF_WEIGHT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Time in which the response times of a report lose half of their weight, in ns. They
	 * count as a mean, for which the newest reports suffice.
	 */
	private static final double HALF_TIMES_WEIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Age from which a report is dropped, in ns: above the interval of messages between
	 * the data centres of 390 daemons.
	 */
	private static final long MAX_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(13);

	/** Largest number of daemons whose reports are kept. */
	private static final int MAX_REPORTS = 1_024;

	/** Sums below this are not worth reporting. */
	private static final double MIN_REPORTED = 0.05;

	private final Map<String, Own> own = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	private Map<String, Figures> others = Map.of();

	/** Time in ns from which the times of sends are counted, so that sums stay small. */
	private final long originNanos;

	/**
	 * Creates loads without requests.
	 * @param nowNanos the current steady time in ns
	 */
	public PlainLoads(long nowNanos) {
		this.originNanos = nowNanos;
	}

	void recordDispatch(String id, long nowNanos) {
		Own entry = at(id, nowNanos);
		entry.open++;
		entry.openSinceNanos += nowNanos - this.originNanos;
		entry.sends++;
	}

	void recordEnd(String id, long sentAtNanos, double durationMs, long nowNanos) {
		Own entry = at(id, nowNanos);
		if (entry.open > 0) {
			entry.open--;
			entry.openSinceNanos = (entry.open > 0) ? entry.openSinceNanos - (sentAtNanos - this.originNanos) : 0;
		}
		if (durationMs >= 0) {
			entry.done++;
			entry.doneMs += durationMs;
			entry.tried++;
		}
	}

	void recordFailure(String id, long nowNanos) {
		Own entry = at(id, nowNanos);
		entry.failed++;
		entry.tried++;
	}

	private Own at(String id, long nowNanos) {
		Own entry = this.own.computeIfAbsent(id, (key) -> new Own(nowNanos));
		entry.advance(nowNanos);
		return entry;
	}

	/**
	 * Returns this daemon's figures, for its messages.
	 * @param nowNanos the current steady time in ns
	 * @return the figures of the endpoints that it has used lately, by identity
	 */
	public Map<String, Figures> ownFigures(long nowNanos) {
		Map<String, Figures> figures = new HashMap<>();
		this.own.values().removeIf((entry) -> entry.isForgotten(nowNanos));
		this.own.forEach((id, entry) -> {
			Figures one = entry.figures(nowNanos);
			if (one.sends() + one.done() + one.tried() > MIN_REPORTED) {
				figures.put(id, one);
			}
		});
		return figures;
	}

	/**
	 * Records the figures of another daemon.
	 * @param sender the other daemon's name
	 * @param dataCentre its data centre
	 * @param figures its figures by identity of the endpoint; empty if it stated none
	 * @param nowNanos the current steady time in ns
	 */
	public void onReport(String sender, String dataCentre, Map<String, Figures> figures, long nowNanos) {
		if (figures.isEmpty()) {
			this.reports.remove(sender);
		}
		else if (this.reports.size() < MAX_REPORTS || this.reports.containsKey(sender)) {
			this.reports.put(sender, new Report(dataCentre, figures, nowNanos));
		}
	}

	/**
	 * Adds up the reports of the other daemons, once a round of messages.
	 * @param nowNanos the current steady time in ns
	 */
	public void update(long nowNanos) {
		this.reports.values().removeIf((report) -> nowNanos - report.receivedAtNanos() > MAX_REPORT_AGE_NANOS);
		Map<String, double[]> weights = new HashMap<>();
		for (Report report : this.reports.values()) {
			double[] weight = weights.computeIfAbsent(report.dataCentre(), (name) -> new double[2]);
			weight[0] += report.weight(nowNanos);
			weight[1]++;
		}
		Map<String, Figures> sums = new HashMap<>();
		for (Report report : this.reports.values()) {
			double[] weight = weights.get(report.dataCentre());
			double factor = report.weight(nowNanos) * weight[1] / weight[0];
			report.figures()
				.forEach(
						(id, one) -> sums.merge(id, one.weighted(factor, report.timesWeight(nowNanos)), Figures::plus));
		}
		this.others = sums;
	}

	/**
	 * Returns what is known of an endpoint.
	 * @param id identity of the endpoint
	 * @param nowNanos the current steady time in ns
	 * @return the figures of all daemons
	 */
	Figures total(String id, long nowNanos) {
		Own entry = this.own.get(id);
		Figures sum = this.others.getOrDefault(id, Figures.NONE);
		return (entry != null) ? sum.plus(entry.figures(nowNanos)) : sum;
	}

	// Returns the mean age of this daemon's open requests at an endpoint, in ms; 0 if
	// there are none.
	double openAgeMs(String id, long nowNanos) {
		Own entry = this.own.get(id);
		return (entry != null && entry.open > 0)
				? (nowNanos - this.originNanos - entry.openSinceNanos / entry.open) / 1e6 : 0;
	}

	/**
	 * Requests at one endpoint. The sums decay exponentially.
	 *
	 * @param sends sum of sends
	 * @param done sum of requests with a response that is no failure
	 * @param doneMs sum of the times of these, in ms
	 * @param failed sum of failed requests
	 * @param tried sum of requests that have ended
	 */
	public record Figures(double sends, double done, double doneMs, double failed, double tried) {

		/** No requests. */
		static final Figures NONE = new Figures(0, 0, 0, 0, 0);

		Figures plus(Figures other) {
			return new Figures(this.sends + other.sends, this.done + other.done, this.doneMs + other.doneMs,
					this.failed + other.failed, this.tried + other.tried);
		}

		Figures weighted(double factor, double timesWeight) {
			return new Figures(factor * this.sends, timesWeight * this.done, timesWeight * this.doneMs,
					factor * this.failed, factor * this.tried);
		}

	}

	/** The requests of this daemon at one endpoint. */
	private static final class Own {

		private int open;

		/** Sum of the send times of the open requests, in ns after the origin. */
		private double openSinceNanos;

		private double sends;

		private double done;

		private double doneMs;

		private double failed;

		private double tried;

		private long updatedAtNanos;

		Own(long nowNanos) {
			this.updatedAtNanos = nowNanos;
		}

		private double decay(double windowMs, long nowNanos) {
			return StrictMath.exp(-Math.max(0, nowNanos - this.updatedAtNanos) / 1e6 / windowMs);
		}

		void advance(long nowNanos) {
			Figures present = figures(nowNanos);
			this.sends = present.sends();
			this.done = present.done();
			this.doneMs = present.doneMs();
			this.failed = present.failed();
			this.tried = present.tried();
			this.updatedAtNanos = nowNanos;
		}

		Figures figures(long nowNanos) {
			double times = decay(TIMES_WINDOW_MS, nowNanos);
			double failures = decay(FAILURES_WINDOW_MS, nowNanos);
			return new Figures(this.sends * decay(SENDS_WINDOW_MS, nowNanos), this.done * times, this.doneMs * times,
					this.failed * failures, this.tried * failures);
		}

		boolean isForgotten(long nowNanos) {
			return this.open == 0 && this.tried * decay(FAILURES_WINDOW_MS, nowNanos) < MIN_REPORTED
					&& this.sends * decay(SENDS_WINDOW_MS, nowNanos) < MIN_REPORTED;
		}

	}

	/**
	 * The figures of another daemon.
	 *
	 * @param dataCentre its data centre
	 * @param figures its figures by identity of the endpoint
	 * @param receivedAtNanos when they arrived, in ns
	 */
	private record Report(String dataCentre, Map<String, Figures> figures, long receivedAtNanos) {

		double weight(long nowNanos) {
			return StrictMath.pow(0.5, (nowNanos - this.receivedAtNanos) / HALF_WEIGHT_NANOS);
		}

		double timesWeight(long nowNanos) {
			return StrictMath.pow(0.5, (nowNanos - this.receivedAtNanos) / HALF_TIMES_WEIGHT_NANOS);
		}

	}

}
