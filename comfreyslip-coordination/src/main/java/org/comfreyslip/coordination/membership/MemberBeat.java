package org.comfreyslip.coordination.membership;

/**
 * New heartbeat of a run that the receiver knows.
 *
 * @param key 32-bit hash of the report without its heartbeat, see {@link MemberTable#key}
 * @param heartbeat the counter
 */
public record MemberBeat(int key, long heartbeat) {
}
