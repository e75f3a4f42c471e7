package org.comfreyslip.coordination.membership;

import java.util.List;

import org.comfreyslip.coordination.ranking.RendezvousRanking;

/**
 * Selects the daemons of a data centre that perform a task on behalf of all daemons.
 * There are two of them, so that the failure of one causes no delay. In a small
 * deployment every daemon performs every task.
 */
final class TaskSelection {

	private static final int DAEMONS_PER_TASK = 2;

	/** Number of daemons up to which every daemon performs every task. */
	private static final int MAX_SMALL_DEPLOYMENT_DAEMONS = 16;

	private TaskSelection() {
	}

	/**
	 * Returns whether this daemon performs a task.
	 * @param task the task's name, by which the daemons are ranked
	 * @param dataCentre the data centre whose daemons perform the task; if it has none,
	 * the daemons of all data centres are candidates
	 * @param table this daemon's view of the members
	 * @param nowNanos monotonic time in nanoseconds
	 * @return {@code true} if this daemon is selected according to its own view
	 */
	static boolean isSelected(String task, String dataCentre, MemberTable table, long nowNanos) {
		List<Member> owners = table.members(MemberState::canOwnTasks, nowNanos);
		if (owners.size() <= MAX_SMALL_DEPLOYMENT_DAEMONS) {
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
