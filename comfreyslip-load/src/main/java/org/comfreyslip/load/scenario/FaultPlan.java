package org.comfreyslip.load.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * A fault of the scenario, once or at regular times.
 *
 * @param name the name in the scenario
 * @param targets names of embedded processes or addresses, taken in turn
 * @param mode a fault mode of the stand-ins, or {@code KILL}
 * @param atMillis the time of the first fault after the start
 * @param forMillis how long a fault of a stand-in lasts, 0 for no end
 * @param delayMillis the delay of mode {@code SLOW}
 * @param probability the share of requests that a fault of a stand-in hits
 * @param repeat how often the fault occurs
 * @param everyMillis the time from one occurrence to the next
 * @param restartAfterMillis when a killed process is started again, 0 for never
 */
public record FaultPlan(String name, List<String> targets, String mode, long atMillis, long forMillis, long delayMillis,
		double probability, int repeat, long everyMillis, long restartAfterMillis) {

	/** Mode that ends an embedded process. */
	public static final String KILL = "KILL";

	/**
	 * Lists the actions of the plan.
	 * @return the actions, not sorted
	 */
	public List<FaultAction> actions() {
		List<FaultAction> actions = new ArrayList<>();
		for (int i = 0; i < this.repeat; i++) {
			String target = this.targets.get(i % this.targets.size());
			long at = this.atMillis + i * this.everyMillis;
			actions.add(new FaultAction(at, target, false, this));
			if (this.mode.equals(KILL) && this.restartAfterMillis > 0) {
				actions.add(new FaultAction(at + this.restartAfterMillis, target, true, this));
			}
		}
		return actions;
	}

	/**
	 * One action of the plan.
	 *
	 * @param atMillis the time after the start
	 * @param target the process or address
	 * @param restart whether a killed process is started again
	 * @param plan the plan that the action belongs to
	 */
	public record FaultAction(long atMillis, String target, boolean restart, FaultPlan plan) {
	}

}
