package org.comfreyslip.daemon.journal;

/**
 * Where a request's record was found.
 *
 * @param daemon the daemon's name
 * @param request the record
 */
public record FoundRequest(String daemon, RequestRecord request) {
}
