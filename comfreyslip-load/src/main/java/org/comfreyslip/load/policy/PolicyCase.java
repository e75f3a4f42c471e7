package org.comfreyslip.load.policy;

import org.comfreyslip.routing.endpoint.EndpointPolicy;

/**
 * One case of the comparison.
 *
 * @param mix the accelerator kinds
 * @param policy the policy of all daemons
 * @param loadPercent the offered load, in percent of the bound
 * @param daemons the number of daemons
 * @param engines the number of engines
 * @param seconds the simulated time in s, after the warm-up
 * @param seed the seed of all random numbers
 */
public record PolicyCase(KindMix mix, EndpointPolicy policy, int loadPercent, int daemons, int engines, int seconds,
		long seed) {
}
