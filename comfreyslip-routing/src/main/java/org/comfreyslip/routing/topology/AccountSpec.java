package org.comfreyslip.routing.topology;

import java.util.List;

/**
 * A client account of the operators' text.
 *
 * @param name the account's name
 * @param credentialDigests SHA-256 digests of the accepted bearer keys, in lower-case hex
 * @param maxConcurrent the account's limit of open requests over all daemons
 * @param priority the priority of its requests
 * @param weight the account's weight in the fair share under load, relative to other
 * accounts, at least 1
 */
public record AccountSpec(String name, List<String> credentialDigests, int maxConcurrent, Priority priority,
		int weight) {
}
