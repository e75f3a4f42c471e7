package org.comfreyslip.load.scenario;

import java.util.List;

/**
 * The running system that a run calls.
 *
 * @param daemons addresses of the daemons
 * @param keys bearer keys, one per client account
 * @param model the model's name
 * @param referenceLayers the layers of the model if it is the reference model of the
 * stand-ins, so that texts can be compared; otherwise 0
 * @param service the service that records stamps
 */
public record TargetPlan(List<String> daemons, List<String> keys, String model, int referenceLayers, String service) {
}
