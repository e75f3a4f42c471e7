package org.comfreyslip.coordination.membership;

import java.util.Comparator;

/**
 * State of a daemon as reported by itself. Peers forward the report unchanged.
 *
 * @param member the daemon's run
 * @param heartbeat counter that the daemon increments each second
 * @param phase whether the daemon runs, drains or has left
 * @param configVersion number of the configuration version in effect in that daemon
 */
public record MemberReport(Member member, long heartbeat, Phase phase, long configVersion) {

	private static final Comparator<MemberReport> BY_RECENCY = Comparator
		.comparingLong((MemberReport report) -> report.member().incarnation())
		.thenComparingLong(MemberReport::heartbeat);

	boolean isNewerThan(MemberReport other) {
		return BY_RECENCY.compare(this, other) > 0;
	}

	boolean isSameRun(MemberReport other) {
		return this.member.incarnation() == other.member.incarnation();
	}

	/**
	 * Phase of a daemon's run as it announces it. The constants are in the order in which
	 * a daemon goes through them.
	 */
	public enum Phase {

		/** The daemon accepts requests. */
		RUNNING,

		/** The daemon accepts no new requests. */
		DRAINING,

		/** The daemon has shut down in an orderly way. */
		LEFT

	}

}
