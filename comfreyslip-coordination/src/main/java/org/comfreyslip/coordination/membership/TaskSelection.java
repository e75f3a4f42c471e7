package org.comfreyslip.coordination.membership;

import java.util.List;

import org.comfreyslip.coordination.ranking.RendezvousRanking;

/**
 * Selects the daemons of a data centre that do a task for the others. Two do it, so that
 * one may fail without delay; in a small deployment all of them do.
 */
final class TaskSelection {

	private static final int DAEMONS_PER_TASK = 2;

	/** Up to this size every daemon does every task. */
	private static final int SMALL_DEPLOYMENT = 16;

	private TaskSelection() {
	}

	/**
	 * Returns whether this daemon does a task.
	 * @param task the task's name
	 * @param dataCentre the data centre whose daemons do the task; if it has none, those
	 * of all data centres are candidates
	 * @param table the members
	 * @param now the current time
	 * @return {@code true} if it is one of the selected ones as far as it knows
	 */
	static boolean isSelected(String task, String dataCentre, MemberTable table, long now) {
		List<Member> owners = table.members(MemberState::isOwner, now);
		if (owners.size() <= SMALL_DEPLOYMENT) {
			return true;
		}
		List<Member> local = owners.stream().filter((member) -> member.dataCentre().equals(dataCentre)).toList();
		List<String> candidates = (local.isEmpty() ? owners : local).stream().map(Member::name).toList();
		return RendezvousRanking.rank(task, candidates)
			.stream()
			.limit(DAEMONS_PER_TASK)
			.anyMatch(table.self().member().name()::equals);
	}

}
