package org.comfreyslip.settings;

import java.util.List;

/**
 * Section {@code [daemon]} of a daemon's settings.
 *
 * @param name the daemon's name, unique among all daemons
 * @param dataCentre the data centre that the daemon runs in
 * @param region the region of that data centre
 * @param httpListen IP address and port of the listener for client requests; port 0 picks
 * a free port
 * @param grpcListen IP address and port of the listener for other daemons; port 0 picks a
 * free port
 * @param adminListen IP address and port of the listener for operators; port 0 picks a
 * free port
 * @param peers gRPC addresses (IP address and port) of other daemons, possibly empty
 * @param balancerLagMillis how long the load balancer may still send requests after the
 * daemon reports itself not ready, in milliseconds
 * @param drainDeadlineMillis how long a shutdown waits for open requests, in milliseconds
 */
public record DaemonSection(String name, String dataCentre, String region, String httpListen, String grpcListen,
		String adminListen, List<String> peers, long balancerLagMillis, long drainDeadlineMillis) {

	/** Default of {@code balancer-lag-ms}, in milliseconds. */
	public static final long DEFAULT_BALANCER_LAG_MILLIS = 5_000;

	/** Default of {@code drain-deadline-ms}, in milliseconds (10 min). */
	public static final long DEFAULT_DRAIN_DEADLINE_MILLIS = 600_000;

}
