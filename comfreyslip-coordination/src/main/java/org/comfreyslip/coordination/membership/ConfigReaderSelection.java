package org.comfreyslip.coordination.membership;

import java.util.List;

import org.comfreyslip.coordination.ranking.RendezvousRanking;

/**
 * Selects the daemons that poll the log for configuration: two in each data centre, so
 * that one may fail without delay, and all of them in a small deployment. The others
 * learn new versions from gossip.
 */
public final class ConfigReaderSelection {

	private static final int READERS_PER_DATA_CENTRE = 2;

	/** Up to this size every daemon reads the log. */
	private static final int SMALL_DEPLOYMENT = 16;

	private static final String TASK = "config-reader";

	private ConfigReaderSelection() {
	}

	/**
	 * Returns whether this daemon polls the log.
	 * @param table the members
	 * @param now the current time
	 * @return {@code true} if it is one of the readers as far as it knows
	 */
	public static boolean isReader(MemberTable table, long now) {
		List<Member> owners = table.members(MemberState::isOwner, now);
		if (owners.size() <= SMALL_DEPLOYMENT) {
			return true;
		}
		Member self = table.self().member();
		List<String> sameDataCentre = owners.stream()
			.filter((member) -> member.dataCentre().equals(self.dataCentre()))
			.map(Member::name)
			.toList();
		return RendezvousRanking.rank(TASK, sameDataCentre)
			.stream()
			.limit(READERS_PER_DATA_CENTRE)
			.anyMatch(self.name()::equals);
	}

}
