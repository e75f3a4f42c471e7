package org.comfreyslip.routing.topology;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A plain service of the operators' text.
 *
 * @param name the service's name
 * @param protectedCalls the calls that may not be repeated
 * @param lookup the path that looks a result up, with {@code {key}}, if the service has
 * one
 * @param enforcesSendBy whether the service refuses calls that arrive after their send-by
 * time
 * @param refusalStatuses the HTTP statuses by which the service states that it did not
 * execute a call, possibly none
 * @param depends the services that this one needs, possibly empty
 * @param timeoutMillis the time limit of one call, in milliseconds
 */
public record ServiceSpec(String name, List<CallPattern> protectedCalls, Optional<String> lookup,
		boolean enforcesSendBy, Set<Integer> refusalStatuses, List<String> depends, long timeoutMillis) {

	/**
	 * Returns whether a call may not be repeated.
	 * @param method the HTTP method in upper case
	 * @param path the path below the service, without query
	 * @return {@code true} if a pattern of the operators' text matches
	 */
	public boolean isProtected(String method, String path) {
		return this.protectedCalls.stream().anyMatch((pattern) -> pattern.matches(method, path));
	}

}
