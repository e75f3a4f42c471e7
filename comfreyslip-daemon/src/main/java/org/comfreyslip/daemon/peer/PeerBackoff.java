package org.comfreyslip.daemon.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Back-off of calls to one peer after failures. It doubles up to a limit that is below
 * the time after which a silent member counts as dead, so that a peer that returns is
 * found in that time. Thread-safe.
 */
final class PeerBackoff {

	private static final long FIRST_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long LAST_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final Map<String, Wait> waits = new HashMap<>();

	synchronized boolean isDue(String address, long now) {
		Wait wait = this.waits.get(address);
		return wait == null || now - wait.until() >= 0;
	}

	synchronized void onFailure(String address, long now) {
		Wait previous = this.waits.get(address);
		long length = (previous != null) ? Math.min(2 * previous.length(), LAST_NANOS) : FIRST_NANOS;
		this.waits.put(address, new Wait(now + length, length));
	}

	synchronized void retain(Set<String> addresses) {
		this.waits.keySet().retainAll(addresses);
	}

	synchronized void onSuccess(String address) {
		this.waits.remove(address);
	}

	/**
	 * Time in which a peer is not called.
	 *
	 * @param until end of the time, in monotonic ns
	 * @param length its length, in ns
	 */
	private record Wait(long until, long length) {
	}

}
