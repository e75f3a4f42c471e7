package org.comfreyslip.daemon.admin;

import org.comfreyslip.daemon.journal.RequestRecord;

/**
 * Response with the record of a request and where it was found ({@code GET
 * /admin/explain/{request}}).
 *
 * @param daemon the name of the daemon that handled the request
 * @param request what the daemon recorded about the request
 */
record AdminExplanation(String daemon, RequestRecord request) {
}
