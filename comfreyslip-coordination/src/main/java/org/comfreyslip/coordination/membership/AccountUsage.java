package org.comfreyslip.coordination.membership;

/**
 * Use of one client account on the sending daemon.
 *
 * @param account the account's name
 * @param inUse requests in progress
 */
public record AccountUsage(String account, int inUse) {
}
