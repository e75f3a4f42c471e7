package org.comfreyslip.entry.blame;

import java.util.List;

/**
 * What one daemon knows of the unexpected end of an endpoint's process.
 *
 * @param endpoint identity and start of the endpoint's process; equal in the reports of
 * all daemons
 * @param ageNanos time since the process ended, in ns
 * @param suspects the daemon's requests there whose answers had not begun; not empty
 */
public record CrashReport(String endpoint, long ageNanos, List<SuspectRequest> suspects) {
}
