package org.comfreyslip.routing.admission;

import org.comfreyslip.routing.topology.AccountSpec;

/**
 * The properties of a request on which its admission depends.
 *
 * @param account the client account
 * @param deadlineNanos the time at which the caller stops waiting, in ns of the monotonic
 * clock
 * @param expectedWaitNanos the expected time until the request starts, in ns
 */
public record AdmissionRequest(AccountSpec account, long deadlineNanos, long expectedWaitNanos) {
}
