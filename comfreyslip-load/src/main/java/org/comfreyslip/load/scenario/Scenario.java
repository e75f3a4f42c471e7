package org.comfreyslip.load.scenario;

import java.util.List;
import java.util.Map;

/**
 * What a run does.
 *
 * @param name the scenario's name
 * @param seed the seed of arrivals, sizes and keys
 * @param durationSeconds the time during which requests arrive
 * @param warmUpSeconds the first part of that time, which is not measured
 * @param requestsPerSecond the rate of arrivals, 0 if {@code boundPercent} sets it
 * @param boundPercent the rate of tokens in percent of the bound of the embedded
 * topology, 0 if {@code requestsPerSecond} sets it
 * @param mix the weight of each kind of request
 * @param promptWords the sizes of prompts
 * @param maxTokens the token limits
 * @param attempts the attempts of a stamp, each at another daemon
 * @param retryPauseMillis the time between two attempts
 * @param accounts the number of client accounts of an embedded run
 * @param topology what an embedded run starts
 * @param target what a run without embedded processes calls
 * @param faults the faults
 */
public record Scenario(String name, long seed, int durationSeconds, int warmUpSeconds, double requestsPerSecond,
		double boundPercent, Map<RequestKind, Integer> mix, IntRange promptWords, IntRange maxTokens, int attempts,
		int retryPauseMillis, int accounts, TopologyPlan topology, TargetPlan target, List<FaultPlan> faults) {

	/**
	 * Copies the scenario with another seed.
	 * @param other the seed
	 * @return the copy
	 */
	public Scenario withSeed(long other) {
		return new Scenario(this.name, other, this.durationSeconds, this.warmUpSeconds, this.requestsPerSecond,
				this.boundPercent, this.mix, this.promptWords, this.maxTokens, this.attempts, this.retryPauseMillis,
				this.accounts, this.topology, this.target, this.faults);
	}

}
