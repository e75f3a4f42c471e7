package org.comfreyslip.entry;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of one daemon.
 *
 * @param name the daemon's name
 * @param host address of the host, an IP number
 * @param dataCentre the data centre
 * @param callers where callers connect
 * @param readiness where readiness is asked
 * @param metrics where metrics are read
 * @param firstPeerPort the first of the ports free for use between daemons
 * @param store where the store listens
 * @param keyFreshnessMs age of the configuration up to which an API key is accepted, in
 * ms; empty if keys stay valid while the store is away
 * @param retryRatio retries per request that all daemons together may send to a service
 * @param retryConstant retries in a window beside the ratio
 * @param retryWindowSeconds length of that window, in s
 * @param graceMs time from the stop signal to the end of the process, in ms
 */
public record EntrySettings(String name, String host, String dataCentre, InetSocketAddress callers,
		InetSocketAddress readiness, InetSocketAddress metrics, int firstPeerPort, InetSocketAddress store,
		Optional<Long> keyFreshnessMs, double retryRatio, double retryConstant, double retryWindowSeconds,
		long graceMs) {

	/**
	 * Returns these settings for a daemon that already listens.
	 * @param running the settings that it was started with
	 * @return these limits with the name, the data centre and the addresses of the others
	 */
	public EntrySettings withIdentityOf(EntrySettings running) {
		return new EntrySettings(running.name, running.host, running.dataCentre, running.callers, running.readiness,
				running.metrics, running.firstPeerPort, running.store, this.keyFreshnessMs, this.retryRatio,
				this.retryConstant, this.retryWindowSeconds, this.graceMs);
	}

}
