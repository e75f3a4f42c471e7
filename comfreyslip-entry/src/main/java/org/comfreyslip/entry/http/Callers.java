package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;

/**
 * The open connections of callers.
 */
public final class Callers {

	private final Set<CallerConnection> connections = new HashSet<>();

	void add(CallerConnection connection) {
		this.connections.add(connection);
	}

	void remove(CallerConnection connection) {
		this.connections.remove(connection);
	}

	/**
	 * Returns how many callers are connected.
	 * @return the number of open connections
	 */
	public int count() {
		return this.connections.size();
	}

	/**
	 * Tells whether a request is being received or served.
	 * @return whether one is, on any connection
	 */
	boolean areAnyBusy() {
		return this.connections.stream().anyMatch(CallerConnection::isBusy);
	}

	/** Starts reading what the callers sent while the daemon was starting. */
	void startReading() {
		new ArrayList<>(this.connections).forEach(CallerConnection::startReading);
	}

	/**
	 * Closes the connections that have no open request, while the daemon stops.
	 * @param nowNanos the current steady time in ns
	 */
	public void closeIdleAtStop(long nowNanos) {
		new ArrayList<>(this.connections).forEach((caller) -> caller.closeIfIdleAtStop(nowNanos));
	}

	/**
	 * Enforces the timeouts of all connections.
	 * @param nowNanos the current steady time in ns
	 */
	void checkTimeouts(long nowNanos) {
		new ArrayList<>(this.connections).forEach((caller) -> caller.checkTimeouts(nowNanos));
	}

}
