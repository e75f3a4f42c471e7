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
 * Finds engines for all layers of a model, or for the range of a lost stage, as a
 * shortest path over the layer boundaries. The daemon relays the activations between
 * stages, so the score of a stage does not depend on the stage before it and one number
 * per boundary is enough. At each boundary two random engines among the near-best are
 * compared, so that daemons with the same stale load report do not all make the same
 * choice.
 */
public final class PipelinePlanner {

	/**
	 * How much longer than the best remaining path an option may take and still count as
	 * near-best, as a fraction. A wider margin spreads the load better but costs more
	 * time per response.
	 */
	public static final double NEAR_BEST_MARGIN = 0.15;

	private static final double UNREACHABLE = Double.POSITIVE_INFINITY;

	private final PlanningTable table;

	/**
	 * Creates a planner.
	 * @param table the engines, links and measurements that plans are based on
	 */
	public PipelinePlanner(PlanningTable table) {
		this.table = table;
	}

	/**
	 * Plans the path of a response.
	 * @param request the response to plan
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
	 * Finds one or several engines for the layers of a lost stage.
	 * @param range the layers to cover, within the layers of the model
	 * @param request the response to plan for, with the failed engines excluded
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
		double[] remainingScores = new double[range.count() + 1];
		Arrays.fill(remainingScores, UNREACHABLE);
		remainingScores[range.count()] = 0;
		List<List<Option>> options = findOptions(model, range, request, nowNanos, remainingScores);
		if (remainingScores[0] == UNREACHABLE) {
			return new PlanDecision.Uncovered(model.name(), firstUnreachableLayer(model, range, request, nowNanos));
		}
		List<StageCandidate> stages = new ArrayList<>();
		double score = 0;
		int boundary = range.first();
		while (boundary < range.end()) {
			int offset = boundary - range.first();
			Option option = chooseOption(options.get(offset), remainingScores[offset], random);
			stages.add(option.stage());
			score += option.score();
			boundary = option.stage().layers().end();
		}
		return new PlanDecision.Replaced(new StageCover(range, stages, (long) score));
	}

	private List<List<Option>> findOptions(PlanningModel model, LayerRange range, PlanRequest request, long nowNanos,
			double[] remainingScores) {
		List<List<Option>> options = new ArrayList<>();
		for (int i = 0; i < range.count(); i++) {
			options.add(List.of());
		}
		for (int offset = range.count() - 1; offset >= 0; offset--) {
			List<Option> here = new ArrayList<>();
			for (PlanningEngine engine : model.byFirstLayer().get(range.first() + offset)) {
				int end = engine.stage().layers().end() - range.first();
				if (end > range.count() || remainingScores[end] == UNREACHABLE
						|| !this.table.isUsable(engine, request, nowNanos)) {
					continue;
				}
				double score = this.table.scoreNanos(engine, request, nowNanos);
				if (!(score >= 0)) {
					throw Invariants.violated("score " + score + " of " + engine.stage().engine() + " is negative");
				}
				here.add(new Option(engine.stage(), score, score + remainingScores[end]));
				remainingScores[offset] = Math.min(remainingScores[offset], score + remainingScores[end]);
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
	 * An engine that can run the layers from a boundary on.
	 *
	 * @param stage the engine
	 * @param score its own score in ns
	 * @param total its score plus the best score of the remaining layers, in ns
	 */
	private record Option(StageCandidate stage, double score, double total) {
	}

}
