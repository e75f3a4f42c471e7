package org.comfreyslip.daemon.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.coordination.membership.EndpointNotification;
import org.comfreyslip.daemon.route.EndpointStatus;
import org.comfreyslip.routing.endpoint.EndpointState;

/**
 * Turns changes of endpoint states into notices and back. A state that came from a peer
 * is not announced again, and only the daemon that announced an ejection announces its
 * end, so that one fault causes one notice and not one from each daemon. Thread-safe.
 */
final class EndpointNews {

	private static final int HEALTHY = 0;

	private static final int EJECTED = 1;

	private static final int LEAVING = 2;

	/**
	 * A daemon that starts gets all remembered notices. Older ones no longer say anything
	 * about the endpoint; the margin covers the clocks' differences.
	 */
	private static final long LIFE_MILLIS = 30_000;

	private final Map<String, Integer> seen = new HashMap<>();

	private final Set<String> announced = new HashSet<>();

	/**
	 * Compares the endpoints with their states at the last call.
	 * @param status the states now
	 * @param nowEpochMillis the wall-clock time, the sequence of the notices
	 * @return the notices to spread
	 */
	synchronized List<EndpointNotification> changes(List<EndpointStatus> status, long nowEpochMillis) {
		List<EndpointNotification> notices = new ArrayList<>();
		for (EndpointStatus endpoint : status) {
			int state = code(endpoint.state());
			Integer before = this.seen.put(endpoint.name(), state);
			if (state != ((before != null) ? before : HEALTHY) && isToAnnounce(endpoint.name(), state)) {
				notices.add(new EndpointNotification(endpoint.name(), state, nowEpochMillis));
			}
		}
		return notices;
	}

	/**
	 * Takes a peer's notice.
	 * @param notice the notice
	 * @param nowEpochMillis the wall-clock time
	 * @return the state to apply, or empty if the notice has no effect
	 */
	synchronized Optional<EndpointState> accept(EndpointNotification notice, long nowEpochMillis) {
		boolean recent = nowEpochMillis - notice.sequence() < LIFE_MILLIS;
		if (!recent || notice.state() == HEALTHY) {
			return Optional.empty();
		}
		this.seen.put(notice.endpoint(), notice.state());
		return Optional.of((notice.state() == LEAVING) ? EndpointState.LEAVING : EndpointState.EJECTED);
	}

	private boolean isToAnnounce(String endpoint, int state) {
		return (state != HEALTHY) ? this.announced.add(endpoint) || state == LEAVING : this.announced.remove(endpoint);
	}

	private static int code(EndpointState state) {
		return switch (state) {
			case HEALTHY -> HEALTHY;
			case EJECTED, HALF_OPEN -> EJECTED;
			case LEAVING -> LEAVING;
		};
	}

}
