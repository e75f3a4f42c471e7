package org.comfreyslip.routing.plan;

/**
 * Result of planning.
 */
public sealed interface PlanDecision {

	/**
	 * A plan was found.
	 *
	 * @param plan the plan
	 */
	record Planned(PipelinePlan plan) implements PlanDecision {
	}

	/**
	 * A replacement was found.
	 *
	 * @param cover the engines for the lost range
	 */
	record Replaced(StageCover cover) implements PlanDecision {
	}

	/**
	 * No engines that take work cover the range.
	 *
	 * @param model the model
	 * @param layer the first layer that cannot be reached from the start of the range
	 */
	record Uncovered(String model, int layer) implements PlanDecision {
	}

	/**
	 * The table does not know the model.
	 *
	 * @param model the model
	 */
	record UnknownModel(String model) implements PlanDecision {
	}

}
