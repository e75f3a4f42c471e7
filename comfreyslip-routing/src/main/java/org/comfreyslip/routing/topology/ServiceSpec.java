package org.comfreyslip.routing.topology;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A plain service of the operators' text.
 *
 * @param name the service's name
 * @param protectedCalls the non-idempotent calls, which must not be repeated
 * @param lookup the path under which the result of a call can be looked up, with
 * {@code {key}} for its idempotency key; empty if the service has none
 * @param enforcesSendBy whether the service refuses calls that arrive after their send-by
 * time
 * @param refusalStatuses the HTTP statuses by which the service states that it did not
 * execute a call, possibly none
 * @param depends the names of the services that this one depends on, possibly empty
 * @param timeoutMillis the timeout of one call, in milliseconds
 */
public record ServiceSpec(String name, List<CallPattern> protectedCalls, Optional<String> lookup,
		boolean enforcesSendBy, Set<Integer> refusalStatuses, List<String> depends, long timeoutMillis) {

	/**
	 * Returns whether a call is non-idempotent and must not be repeated.
	 * @param method the HTTP method in upper case
	 * @param path the path below the service, without query
	 * @return {@code true} if a pattern of the operators' text matches
	 */
	public boolean isProtected(String method, String path) {
		return this.protectedCalls.stream().anyMatch((pattern) -> pattern.matches(method, path));
	}

}
