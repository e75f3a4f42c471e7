package org.comfreyslip.coordination.audit;

import org.comfreyslip.coordination.audit.AuditRecord.Kind;

/**
 * An event to be written to the audit log.
 *
 * @param timeEpochMillis the wall-clock time in milliseconds since the epoch
 * @param kind what happened
 * @param subject what it happened to, for example the name of a lease
 * @param detail a description for readers
 */
public record AuditEvent(long timeEpochMillis, Kind kind, String subject, String detail) {
}
