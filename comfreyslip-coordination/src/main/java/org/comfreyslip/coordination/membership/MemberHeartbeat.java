package org.comfreyslip.coordination.membership;

/**
 * New heartbeat of a run whose other values have not changed, sent instead of a full
 * {@link MemberReport}.
 *
 * @param key 32-bit hash of the report without its heartbeat, see
 * {@link MemberTable#reportKey}
 * @param heartbeat the run's heartbeat counter
 */
public record MemberHeartbeat(int key, long heartbeat) {
}
