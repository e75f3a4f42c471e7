package org.comfreyslip.entry.model;

/**
 * A client account, identified by its API keys.
 *
 * @param name the account's name
 * @param priority priority that overrides the route's; negative if the account has none
 */
public record ClientAccount(String name, int priority) {
}
