package org.comfreyslip.coordination.membership;

/**
 * Selects the daemons that probe an endpoint's load. If all 390 daemons of the target
 * size probed all 910 engines each second, probes would take 204 KB/s of a daemon, 29
 * times its budget. The others learn of ejected and leaving endpoints from gossip.
 */
public final class ProbeSelection {

	private static final String TASK_PREFIX = "probe-";

	private ProbeSelection() {
	}

	/**
	 * Returns whether this daemon probes an endpoint.
	 * @param endpoint the endpoint's name
	 * @param dataCentre the endpoint's data centre
	 * @param table the members
	 * @param now the current time
	 * @return {@code true} if it is one of the probing daemons as far as it knows
	 */
	public static boolean isProber(String endpoint, String dataCentre, MemberTable table, long now) {
		return TaskSelection.isSelected(TASK_PREFIX + endpoint, dataCentre, table, now);
	}

}
