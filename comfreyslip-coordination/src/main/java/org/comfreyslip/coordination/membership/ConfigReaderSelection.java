package org.comfreyslip.coordination.membership;

/**
 * Selects the daemons that poll the log for new configuration versions. The others learn
 * of new versions through gossip.
 */
public final class ConfigReaderSelection {

	private static final String TASK = "config-reader";

	private ConfigReaderSelection() {
	}

	/**
	 * Returns whether this daemon polls the log.
	 * @param table this daemon's view of the members
	 * @param nowNanos monotonic time in nanoseconds
	 * @return {@code true} if this daemon is one of the readers according to its own
	 * view; daemons with different views may select different readers
	 */
	public static boolean isReader(MemberTable table, long nowNanos) {
		return TaskSelection.isSelected(TASK, table.self().member().dataCentre(), table, nowNanos);
	}

}
