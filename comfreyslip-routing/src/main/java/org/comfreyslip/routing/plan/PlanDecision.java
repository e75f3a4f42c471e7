package org.comfreyslip.routing.plan;

/**
 * Result of planning.
 */
public sealed interface PlanDecision {

	/**
	 * A plan was found.
	 *
	 * @param plan the stages for all layers of the model
	 */
	record Planned(PipelinePlan plan) implements PlanDecision {
	}

	/**
	 * A replacement for a layer range was found.
	 *
	 * @param cover the engines that cover the range
	 */
	record Replaced(StageCover cover) implements PlanDecision {
	}

	/**
	 * The usable engines do not cover the range.
	 *
	 * @param model the model's name
	 * @param layer the first layer that cannot be reached from the start of the range
	 */
	record Uncovered(String model, int layer) implements PlanDecision {
	}

	/**
	 * The accepted configuration has no such model.
	 *
	 * @param model the requested model's name
	 */
	record UnknownModel(String model) implements PlanDecision {
	}

}
