package org.comfreyslip.daemon.admin;

import org.comfreyslip.daemon.journal.RequestRecord;

/**
 * Where a request's record was found ({@code GET /admin/explain/{request}}).
 *
 * @param daemon the daemon's name
 * @param request the record
 */
record AdminExplanation(String daemon, RequestRecord request) {
}
