package org.comfreyslip.coordination.audit;

import org.comfreyslip.coordination.audit.AuditRecord.Kind;

/**
 * Something to be recorded.
 *
 * @param timeEpochMillis wall-clock time
 * @param kind what happened
 * @param subject what it happened to
 * @param detail the particulars
 */
public record AuditEvent(long timeEpochMillis, Kind kind, String subject, String detail) {
}
