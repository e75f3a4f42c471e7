package org.comfreyslip.entry.http;

import java.util.List;
import java.util.Optional;

import org.comfreyslip.entry.model.Endpoint;

/**
 * Result of the choice of a target for a request.
 *
 * @param target the target; empty if the request cannot be sent now
 * @param reachable whether the request may be sent to endpoints of its service from here;
 * false if it was to be passed on to another daemon
 * @param heldBack the endpoints whose limits keep the request from being sent to them
 * now; may be empty
 */
record TargetChoice(Optional<SendTarget> target, boolean reachable, List<Endpoint> heldBack) {

	static TargetChoice elsewhere(Optional<SendTarget> daemon) {
		return new TargetChoice(daemon, false, List.of());
	}

	static TargetChoice here(Optional<SendTarget> target, List<Endpoint> heldBack) {
		return new TargetChoice(target, true, heldBack);
	}

}
