package org.comfreyslip.entry.blame;

import java.util.Set;

/**
 * A request whose answer had not begun when its endpoint's process ended.
 *
 * @param id identity of the caller's attempt
 * @param traits what other requests may have in common with it
 */
public record SuspectRequest(String id, Set<String> traits) {

}
