package org.comfreyslip.entry.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.dynatrace.hash4j.hashing.Hashing;
import org.comfreyslip.entry.layers.LayerPath;

/**
 * Long prompts that were sent and whose first event has not arrived, and the rates at
 * which other prompts are sent, by engine: those of this daemon, and those that other
 * daemons reported. A prompt waits for less time than a report takes, so reports are
 * means over some seconds.
 */
public final class WaitingPrompts {

	/**
	 * Time constant of the means, in ms: about the largest age of a report, since a
	 * shorter mean would describe prompts that are over when the report arrives.
	 */
	private static final double WINDOW_MS = 10_000;

	/**
	 * Age from which a report is dropped, in ns: above the interval of messages between
	 * the data centres of 390 daemons.
	 */
	private static final long MAX_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(13);

	/**
	 * Time after the last long prompt for which paths depend on the lengths of prompts,
	 * in ns: three time constants of the means.
	 */
	private static final long ACTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(3 * (long) WINDOW_MS);

	/** Largest number of daemons whose reports are kept. */
	private static final int MAX_REPORTS = 1_024;

	/** Mean delay below which no long prompts are known at an engine, in ms. */
	static final double MIN_DELAY_MS = 0.001;

	/** Rate below which an engine is not worth reporting, in prompts per second. */
	private static final double MIN_RATE = 0.01;

	private final Map<String, Own> own = new TreeMap<>();

	/** Delays that own long prompts cause now, by request. */
	private final Map<Object, List<Delay>> waiting = new HashMap<>();

	private final Map<String, Report> reports = new TreeMap<>();

	/** Sums of the reports by key of the engine. */
	private Map<Integer, Sum> others = Map.of();

	private boolean seenLong;

	/** Steady time in ns of the last long prompt; valid only if one was seen. */
	private long lastLongNanos;

	/**
	 * Returns the key under which an engine is reported.
	 * @param id identity of the endpoint
	 * @return a hash of the identity; two engines with the same one share their figures
	 */
	static int key(String id) {
		return (int) Hashing.wyhashFinal4().hashCharsToLong(id);
	}

	/**
	 * Records that a prompt is sent. A prompt that waits for the same request no longer
	 * does.
	 * @param request the request, of which at most one send is open
	 * @param prompt the prompt
	 * @param path the path that it is sent over
	 * @param nowNanos the current steady time in ns
	 */
	public void recordSend(Object request, Prompt prompt, LayerPath path, long nowNanos) {
		recordStart(request, nowNanos);
		if (!prompt.isLong()) {
			path.stages().forEach((stage) -> at(stage.endpoint().id(), nowNanos).otherPrompts++);
			return;
		}
		recordLong(nowNanos);
		double pathMs = path.stages()
			.stream()
			.mapToDouble((stage) -> prompt.layerShare(stage) * prompt.allLayersMs(prompt.kind(stage)))
			.sum();
		List<Delay> delays = new ArrayList<>();
		for (LayerPath.Stage stage : path.stages()) {
			double share = prompt.layerShare(stage);
			// While the prompt waits, it is at each engine for a part of the time.
			double delayMs = share * share * prompt.excessDelay(prompt.kind(stage)) / pathMs;
			delays.add(new Delay(stage.endpoint().id(), delayMs));
			at(stage.endpoint().id(), nowNanos).presentMs += delayMs;
		}
		this.waiting.put(request, delays);
	}

	/**
	 * Records that the prompt of a request no longer waits: its first event has arrived,
	 * or its send has ended. Has no effect if it does not wait.
	 * @param request the request
	 * @param nowNanos the current steady time in ns
	 */
	public void recordStart(Object request, long nowNanos) {
		List<Delay> delays = this.waiting.remove(request);
		if (delays != null) {
			for (Delay delay : delays) {
				Own entry = at(delay.id(), nowNanos);
				entry.presentMs = Math.max(0, entry.presentMs - delay.delayMs());
			}
		}
	}

	private void recordLong(long nowNanos) {
		this.seenLong = true;
		this.lastLongNanos = nowNanos;
	}

	private Own at(String id, long nowNanos) {
		Own entry = this.own.computeIfAbsent(id, (key) -> new Own(nowNanos));
		entry.advance(nowNanos);
		return entry;
	}

	/**
	 * Tells whether prompts longer than the mean were seen lately.
	 * @param nowNanos the current steady time in ns
	 * @return whether paths depend on the lengths of prompts
	 */
	public boolean isActive(long nowNanos) {
		return this.seenLong && nowNanos - this.lastLongNanos < ACTIVE_NANOS;
	}

	/**
	 * Returns this daemon's figures, for its messages.
	 * @param nowNanos the current steady time in ns
	 * @return the figures of the engines that it used lately
	 */
	public List<EngineFigures> ownFigures(long nowNanos) {
		this.own.values().forEach((entry) -> entry.advance(nowNanos));
		this.own.values().removeIf(Own::isForgotten);
		List<EngineFigures> figures = new ArrayList<>();
		this.own.forEach((id, entry) -> figures.add(new EngineFigures(key(id), entry.figures())));
		return figures;
	}

	/**
	 * Records the figures of another daemon.
	 * @param sender the other daemon's name
	 * @param figures its figures; empty if it stated none
	 * @param nowNanos the current steady time in ns
	 */
	public void onReport(String sender, List<EngineFigures> figures, long nowNanos) {
		if (figures.isEmpty()) {
			this.reports.remove(sender);
		}
		else if (this.reports.size() < MAX_REPORTS || this.reports.containsKey(sender)) {
			this.reports.put(sender, new Report(figures, nowNanos));
			if (figures.stream().anyMatch((one) -> one.figures().delayMs() >= MIN_DELAY_MS)) {
				recordLong(nowNanos);
			}
		}
	}

	/**
	 * Adds up the reports of the other daemons, once a round of messages.
	 * @param nowNanos the current steady time in ns
	 */
	public void update(long nowNanos) {
		this.reports.values().removeIf((report) -> nowNanos - report.receivedAtNanos() > MAX_REPORT_AGE_NANOS);
		Map<Integer, Sum> sums = new HashMap<>();
		for (Report report : this.reports.values()) {
			for (EngineFigures one : report.figures()) {
				sums.computeIfAbsent(one.key(), (key) -> new Sum()).add(one.figures());
			}
		}
		this.others = sums;
	}

	/**
	 * Returns what is known of an engine.
	 * @param id identity of the endpoint
	 * @param nowNanos the current steady time in ns
	 * @return the figures of all daemons; of this one, what waits now if that is more
	 * than the mean
	 */
	Figures total(String id, long nowNanos) {
		Sum reported = this.others.getOrDefault(key(id), Sum.NONE);
		if (!this.own.containsKey(id)) {
			return new Figures(reported.delayMs, reported.promptsPerSecond);
		}
		Own entry = at(id, nowNanos);
		Figures mean = entry.figures();
		return new Figures(reported.delayMs + Math.max(mean.delayMs(), entry.presentMs),
				reported.promptsPerSecond + mean.promptsPerSecond());
	}

	/**
	 * Prompts at one engine.
	 *
	 * @param delayMs expected delay by long prompts of a prompt that arrives at any time,
	 * beyond the delay by prompts of mean length, in ms
	 * @param promptsPerSecond number of other prompts that are sent to it in a second
	 */
	public record Figures(double delayMs, double promptsPerSecond) {
	}

	/**
	 * Prompts at one engine, in a report.
	 *
	 * @param key key of the engine
	 * @param figures the prompts
	 */
	public record EngineFigures(int key, Figures figures) {
	}

	/**
	 * Expected delay by one long prompt at one engine.
	 *
	 * @param id identity of the endpoint
	 * @param delayMs the delay of a prompt that arrives while the long one waits, in ms
	 */
	private record Delay(String id, double delayMs) {
	}

	/**
	 * The figures of another daemon.
	 *
	 * @param figures its figures
	 * @param receivedAtNanos when they arrived, in ns
	 */
	private record Report(List<EngineFigures> figures, long receivedAtNanos) {
	}

	/** Sum of the figures of other daemons at one engine. */
	private static final class Sum {

		private static final Sum NONE = new Sum();

		private double delayMs;

		private double promptsPerSecond;

		void add(Figures figures) {
			this.delayMs += figures.delayMs();
			this.promptsPerSecond += figures.promptsPerSecond();
		}

	}

	/** The prompts of this daemon at one engine. */
	private static final class Own {

		/** Expected delay by the long prompts that wait now, in ms. */
		private double presentMs;

		/** Mean of the expected delay over the window, in ms. */
		private double meanMs;

		/** Number of other prompts sent, which decays over the window. */
		private double otherPrompts;

		private long updatedAtNanos;

		Own(long nowNanos) {
			this.updatedAtNanos = nowNanos;
		}

		void advance(long nowNanos) {
			double kept = Math.exp(-Math.max(0, nowNanos - this.updatedAtNanos) / 1e6 / WINDOW_MS);
			this.meanMs = kept * this.meanMs + (1 - kept) * this.presentMs;
			this.otherPrompts *= kept;
			this.updatedAtNanos = nowNanos;
		}

		Figures figures() {
			return new Figures((this.meanMs < MIN_DELAY_MS) ? 0 : this.meanMs, this.otherPrompts * 1_000 / WINDOW_MS);
		}

		boolean isForgotten() {
			return this.presentMs < MIN_DELAY_MS && this.meanMs < MIN_DELAY_MS
					&& figures().promptsPerSecond() < MIN_RATE;
		}

	}

}
