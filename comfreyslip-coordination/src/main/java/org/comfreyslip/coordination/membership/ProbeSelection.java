package org.comfreyslip.coordination.membership;

/**
 * Selects the daemons that probe an endpoint's load. If all 390 daemons of a deployment
 * of the target size probed all 910 engines each second, probes would take 204 KB/s of
 * each daemon, 29 times its budget. The other daemons learn of ejected and leaving
 * endpoints through gossip.
 */
public final class ProbeSelection {

	private static final String TASK_PREFIX = "probe-";

	private ProbeSelection() {
	}

	/**
	 * Returns whether this daemon probes an endpoint.
	 * @param endpoint the endpoint's name
	 * @param dataCentre the endpoint's data centre
	 * @param table this daemon's view of the members
	 * @param nowNanos monotonic time in nanoseconds
	 * @return {@code true} if this daemon is one of the probing ones according to its own
	 * view
	 */
	public static boolean isProber(String endpoint, String dataCentre, MemberTable table, long nowNanos) {
		return TaskSelection.isSelected(TASK_PREFIX + endpoint, dataCentre, table, nowNanos);
	}

}
