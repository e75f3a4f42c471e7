package org.comfreyslip.coordination.membership;

/**
 * Selects the daemons that poll the log for configuration. The others learn new versions
 * from gossip.
 */
public final class ConfigReaderSelection {

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
		return TaskSelection.isSelected(TASK, table.self().member().dataCentre(), table, now);
	}

}
