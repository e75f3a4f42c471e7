package org.comfreyslip.routing.admission;

import org.comfreyslip.routing.topology.AccountSpec;

/**
 * A request that asks for admission.
 *
 * @param account the client account
 * @param deadlineNanos when the caller gives up, in ns
 * @param expectedWaitNanos the expected time until the request starts, in ns
 */
public record AdmissionRequest(AccountSpec account, long deadlineNanos, long expectedWaitNanos) {
}
