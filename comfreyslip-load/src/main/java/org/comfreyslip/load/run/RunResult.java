package org.comfreyslip.load.run;

import java.util.List;

/**
 * All that was seen in a run.
 *
 * @param observations the requests
 * @param faults the faults
 * @param latenessMaxMillis how late the tool sent a request at most, compared with its
 * intended time
 */
public record RunResult(List<Observation> observations, List<FaultEvent> faults, double latenessMaxMillis) {
}
