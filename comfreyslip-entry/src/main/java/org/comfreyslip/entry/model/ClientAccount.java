package org.comfreyslip.entry.model;

/**
 * A client account.
 *
 * @param name the account's name
 * @param priority rank that goes before the route's; negative if the account has none
 */
public record ClientAccount(String name, int priority) {
}
