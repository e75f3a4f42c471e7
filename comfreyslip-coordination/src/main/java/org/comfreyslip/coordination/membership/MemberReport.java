package org.comfreyslip.coordination.membership;

import java.util.Comparator;

/**
 * What a daemon says about itself. Peers pass it on unchanged.
 *
 * @param member the daemon's run
 * @param heartbeat counter that the daemon increments each second
 * @param phase what the daemon announces about its end
 * @param configVersion number of the configuration version in effect there
 */
public record MemberReport(Member member, long heartbeat, Phase phase, long configVersion) {

	private static final Comparator<MemberReport> AGE = Comparator
		.comparingLong((MemberReport report) -> report.member().incarnation())
		.thenComparingLong(MemberReport::heartbeat);

	boolean isNewerThan(MemberReport other) {
		return AGE.compare(this, other) > 0;
	}

	boolean isSameRun(MemberReport other) {
		return this.member.incarnation() == other.member.incarnation();
	}

	/** What a daemon announces about its end. The order is the order in time. */
	public enum Phase {

		/** The daemon takes requests. */
		RUNNING,

		/** The daemon takes no new requests. */
		DRAINING,

		/** The daemon has ended in an orderly way. */
		LEFT

	}

}
