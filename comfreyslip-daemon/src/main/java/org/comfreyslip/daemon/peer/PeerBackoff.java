package org.comfreyslip.daemon.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Backoff of calls to each peer after failures. It doubles up to a limit that is below
 * the time after which a silent member counts as dead, so that a peer that comes back is
 * called within that time. Thread-safe.
 */
final class PeerBackoff {

	private static final long INITIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final Map<String, Wait> waits = new HashMap<>();

	synchronized boolean isDue(String address, long now) {
		Wait wait = this.waits.get(address);
		return wait == null || now - wait.untilNanos() >= 0;
	}

	synchronized void onFailure(String address, long now) {
		Wait previous = this.waits.get(address);
		long lengthNanos = (previous != null) ? Math.min(2 * previous.lengthNanos(), MAX_NANOS) : INITIAL_NANOS;
		this.waits.put(address, new Wait(now + lengthNanos, lengthNanos));
	}

	synchronized void retain(Set<String> addresses) {
		this.waits.keySet().retainAll(addresses);
	}

	synchronized void onSuccess(String address) {
		this.waits.remove(address);
	}

	/**
	 * Period in which a peer is not called.
	 *
	 * @param untilNanos end of the period, on the monotonic clock
	 * @param lengthNanos length of the period
	 */
	private record Wait(long untilNanos, long lengthNanos) {
	}

}
