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
 * Turns changes of endpoint states into notifications for peers, and notifications of
 * peers into states. A state that came from a peer is not announced again, and only the
 * daemon that announced an ejection announces its end, so that one fault causes one
 * notification instead of one from each daemon. Thread-safe.
 */
final class EndpointNotificationTracker {

	private static final int HEALTHY = 0;

	private static final int EJECTED = 1;

	private static final int LEAVING = 2;

	/**
	 * Age above which a notification of a peer is ignored. A daemon that starts gets all
	 * notifications that its peers remember, and old ones say nothing about the
	 * endpoint's present state. The margin covers differences between the clocks of the
	 * daemons.
	 */
	private static final long MAX_AGE_MILLIS = 30_000;

	private final Map<String, Integer> lastStates = new HashMap<>();

	private final Set<String> announced = new HashSet<>();

	/**
	 * Compares the endpoints with their last known states.
	 * @param status the present states
	 * @param nowEpochMillis the wall-clock time in ms, which becomes the sequence number
	 * of the notifications
	 * @return the notifications to send to peers
	 */
	synchronized List<EndpointNotification> detectChanges(List<EndpointStatus> status, long nowEpochMillis) {
		List<EndpointNotification> notifications = new ArrayList<>();
		for (EndpointStatus endpoint : status) {
			int state = toCode(endpoint.state());
			Integer previous = this.lastStates.put(endpoint.name(), state);
			if (state != ((previous != null) ? previous : HEALTHY) && recordAnnouncement(endpoint.name(), state)) {
				notifications.add(new EndpointNotification(endpoint.name(), state, nowEpochMillis));
			}
		}
		return notifications;
	}

	/**
	 * Applies a peer's notification to the last known states.
	 * @param notification the notification; its sequence number is the wall-clock time of
	 * the change, in ms
	 * @param nowEpochMillis the wall-clock time in ms
	 * @return the state to apply, or empty if the notification is too old or reports a
	 * healthy endpoint
	 */
	synchronized Optional<EndpointState> applyNotification(EndpointNotification notification, long nowEpochMillis) {
		boolean recent = nowEpochMillis - notification.sequence() < MAX_AGE_MILLIS;
		if (!recent || notification.state() == HEALTHY) {
			return Optional.empty();
		}
		this.lastStates.put(notification.endpoint(), notification.state());
		return Optional.of((notification.state() == LEAVING) ? EndpointState.LEAVING : EndpointState.EJECTED);
	}

	// Returns whether the change is to be announced.
	private boolean recordAnnouncement(String endpoint, int state) {
		return (state != HEALTHY) ? this.announced.add(endpoint) || state == LEAVING : this.announced.remove(endpoint);
	}

	private static int toCode(EndpointState state) {
		return switch (state) {
			case HEALTHY -> HEALTHY;
			case EJECTED, HALF_OPEN -> EJECTED;
			case LEAVING -> LEAVING;
		};
	}

}
