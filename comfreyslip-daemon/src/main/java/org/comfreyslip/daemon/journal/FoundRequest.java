package org.comfreyslip.daemon.journal;

/**
 * The record of a request and the daemon that has it.
 *
 * @param daemon the name of the daemon that admitted the request
 * @param request the record of the request
 */
public record FoundRequest(String daemon, RequestRecord request) {
}
