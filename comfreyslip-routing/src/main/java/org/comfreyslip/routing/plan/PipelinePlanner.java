package org.comfreyslip.routing.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.plan.PlanningTable.PlanningEngine;
import org.comfreyslip.routing.plan.PlanningTable.PlanningModel;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * Finds engines for all layers of a model, or for a lost range, by shortest path over the
 * layer boundaries. Every stage is reached through the daemon, which relays, so that the
 * score of a stage does not depend on the stage before it and one number per boundary is
 * enough. At each boundary two random engines among the near-best are compared, so that
 * daemons with the same stale report do not make the same choice.
 */
public final class PipelinePlanner {

	/**
	 * How much longer than the best the rest of a plan may take to be near-best. A wider
	 * band spreads better but gives up more time per response.
	 */
	public static final double NEAR_BEST_MARGIN = 0.15;

	private static final double UNREACHABLE = Double.POSITIVE_INFINITY;

	private final PlanningTable table;

	/**
	 * Creates a planner.
	 * @param table what the planner knows
	 */
	public PipelinePlanner(PlanningTable table) {
		this.table = table;
	}

	/**
	 * Plans a response.
	 * @param request what is to be planned
	 * @param nowNanos the current time in ns
	 * @param random the source of random numbers
	 * @return {@link PlanDecision.Planned}, or why there is no plan
	 */
	public PlanDecision plan(PlanRequest request, long nowNanos, RandomGenerator random) {
		PlanningModel model = this.table.model(request.model());
		if (model == null) {
			return new PlanDecision.UnknownModel(request.model());
		}
		PlanDecision decision = coverRange(model, new LayerRange(0, model.layers()), request, nowNanos, random);
		if (decision instanceof PlanDecision.Replaced replaced) {
			StageCover cover = replaced.cover();
			return new PlanDecision.Planned(
					new PipelinePlan(model.name(), model.layers(), cover.stages(), cover.scoreNanos()));
		}
		return decision;
	}

	/**
	 * Finds one engine, or several, for a lost layer range.
	 * @param range the lost range
	 * @param request the response, with the failed engines excluded
	 * @param nowNanos the current time in ns
	 * @param random the source of random numbers
	 * @return {@link PlanDecision.Replaced}, or why there is no replacement
	 */
	public PlanDecision planReplacement(LayerRange range, PlanRequest request, long nowNanos, RandomGenerator random) {
		PlanningModel model = this.table.model(request.model());
		if (model == null) {
			return new PlanDecision.UnknownModel(request.model());
		}
		if (range.end() > model.layers()) {
			throw Invariants
				.violated("range " + range + " exceeds the " + model.layers() + " layers of " + model.name());
		}
		return coverRange(model, range, request, nowNanos, random);
	}

	private PlanDecision coverRange(PlanningModel model, LayerRange range, PlanRequest request, long nowNanos,
			RandomGenerator random) {
		double[] rest = new double[range.count() + 1];
		Arrays.fill(rest, UNREACHABLE);
		rest[range.count()] = 0;
		List<List<Option>> options = findOptions(model, range, request, nowNanos, rest);
		if (rest[0] == UNREACHABLE) {
			return new PlanDecision.Uncovered(model.name(), firstUnreachableLayer(model, range, request, nowNanos));
		}
		List<StageCandidate> stages = new ArrayList<>();
		double score = 0;
		int boundary = range.first();
		while (boundary < range.end()) {
			int offset = boundary - range.first();
			Option option = chooseOption(options.get(offset), rest[offset], random);
			stages.add(option.stage());
			score += option.score();
			boundary = option.stage().layers().end();
		}
		return new PlanDecision.Replaced(new StageCover(range, stages, (long) score));
	}

	private List<List<Option>> findOptions(PlanningModel model, LayerRange range, PlanRequest request, long nowNanos,
			double[] rest) {
		List<List<Option>> options = new ArrayList<>();
		for (int i = 0; i < range.count(); i++) {
			options.add(List.of());
		}
		for (int offset = range.count() - 1; offset >= 0; offset--) {
			List<Option> here = new ArrayList<>();
			for (PlanningEngine engine : model.byFirstLayer().get(range.first() + offset)) {
				int end = engine.stage().layers().end() - range.first();
				if (end > range.count() || rest[end] == UNREACHABLE
						|| !this.table.isUsable(engine, request, nowNanos)) {
					continue;
				}
				double score = this.table.scoreNanos(engine, request, nowNanos);
				if (!(score >= 0)) {
					throw Invariants.violated("score " + score + " of " + engine.stage().engine() + " is negative");
				}
				here.add(new Option(engine.stage(), score, score + rest[end]));
				rest[offset] = Math.min(rest[offset], score + rest[end]);
			}
			options.set(offset, here);
		}
		return options;
	}

	private Option chooseOption(List<Option> options, double best, RandomGenerator random) {
		double limit = best * (1 + NEAR_BEST_MARGIN);
		int near = 0;
		for (Option option : options) {
			near += (option.total() <= limit) ? 1 : 0;
		}
		if (near == 0) {
			throw Invariants.violated("no engine reaches the best score at its own boundary");
		}
		Option first = nearBestOption(options, limit, random.nextInt(near));
		Option second = nearBestOption(options, limit, random.nextInt(near));
		return (second.total() < first.total()) ? second : first;
	}

	private Option nearBestOption(List<Option> options, double limit, int index) {
		int left = index;
		for (Option option : options) {
			if (option.total() <= limit && left-- == 0) {
				return option;
			}
		}
		throw Invariants.violated("fewer near-best engines than counted");
	}

	private int firstUnreachableLayer(PlanningModel model, LayerRange range, PlanRequest request, long nowNanos) {
		boolean[] reached = new boolean[range.count() + 1];
		reached[0] = true;
		int last = 0;
		for (int offset = 0; offset < range.count(); offset++) {
			if (!reached[offset]) {
				continue;
			}
			last = offset;
			for (PlanningEngine engine : model.byFirstLayer().get(range.first() + offset)) {
				int end = engine.stage().layers().end() - range.first();
				if (end <= range.count() && this.table.isUsable(engine, request, nowNanos)) {
					reached[end] = true;
				}
			}
		}
		return range.first() + last;
	}

	/**
	 * An engine at a boundary.
	 *
	 * @param stage the engine
	 * @param score its own score in ns
	 * @param total its score plus the best score of the rest, in ns
	 */
	private record Option(StageCandidate stage, double score, double total) {
	}

}
