package org.comfreyslip.coordination.membership;

/**
 * Usage of one client account on the daemon that sends it.
 *
 * @param account the account's name
 * @param inUse number of the account's requests in progress on that daemon
 */
public record AccountUsage(String account, int inUse) {
}
