package org.comfreyslip.entry.blame;

import java.util.Optional;
import java.util.Set;

/**
 * A cause of crashes that the store does not hold as this daemon knows it.
 *
 * @param traits the traits of the cause; not empty
 * @param cause the cause; empty if it is no longer one
 */
record CauseChange(Set<String> traits, Optional<CrashNotice.KnownCause> cause) {
}
