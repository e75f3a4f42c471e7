package org.comfreyslip.entry;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of one entry daemon.
 *
 * @param name the daemon's name
 * @param host IP address of the daemon's host
 * @param dataCentre name of the daemon's data centre
 * @param callerAddress address on which the daemon accepts callers
 * @param readinessAddress address on which the daemon serves the readiness probe
 * @param metricsAddress address on which the daemon serves its metrics
 * @param firstPeerPort first of the ports that daemons may use among each other
 * @param storeAddress address of the store
 * @param keyFreshnessMs age of the configuration up to which API keys are accepted, in
 * ms; empty if keys stay valid while the store is unavailable
 * @param configurationApplyMs time from the acceptance of a configuration until it must
 * be in force, in ms
 * @param retryRatio retries per request that all daemons together may send to a service
 * @param retryConstant retries in a window that are allowed in addition to the ratio, for
 * all daemons together
 * @param retryWindowSeconds length of that window, in s
 * @param graceMs time from the stop signal until the process is killed, in ms
 */
public record EntrySettings(String name, String host, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress metricsAddress, int firstPeerPort,
		InetSocketAddress storeAddress, Optional<Long> keyFreshnessMs, long configurationApplyMs, double retryRatio,
		double retryConstant, double retryWindowSeconds, long graceMs) {

	/**
	 * Returns these settings as a running daemon can apply them.
	 * @param running the settings that the daemon was started with
	 * @return the limits of these settings with the name, the data centre and the
	 * addresses of the running ones
	 */
	public EntrySettings withIdentityOf(EntrySettings running) {
		return new EntrySettings(running.name, running.host, running.dataCentre, running.callerAddress,
				running.readinessAddress, running.metricsAddress, running.firstPeerPort, running.storeAddress,
				this.keyFreshnessMs, this.configurationApplyMs, this.retryRatio, this.retryConstant,
				this.retryWindowSeconds, this.graceMs);
	}

}
