package org.comfreyslip.daemon.claim;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.daemon.Failures;
import org.comfreyslip.daemon.route.SelectedEndpoint;
import org.comfreyslip.routing.endpoint.EndpointFailure;
import org.comfreyslip.routing.topology.ServiceSpec;

/**
 * Looks a key up at the endpoints of a service, one after another. Endpoints may keep
 * their records apart, so a result is missing only if every endpoint says so.
 */
final class KeyLookup {

	private final ClaimContext context;

	KeyLookup(ClaimContext context) {
		this.context = context;
	}

	/**
	 * Looks a key up.
	 * @param service the service, which has a look-up path
	 * @param key the key
	 * @return the result, or empty if every endpoint answered that it has none; fails if
	 * no endpoint has it and one of them did not answer
	 */
	CompletableFuture<Optional<RecordedResponse>> find(ServiceSpec service, ClaimKey key) {
		return ask(service, key, new HashSet<>());
	}

	private CompletableFuture<Optional<RecordedResponse>> ask(ServiceSpec service, ClaimKey key, Set<String> asked) {
		long sentAt = now();
		Optional<SelectedEndpoint> selected = this.context.tables().select(service.name(), asked, true, sentAt);
		if (selected.isEmpty()) {
			return notFound(service, asked);
		}
		SelectedEndpoint endpoint = selected.get();
		return this.context.calls().lookUp(endpoint.endpoint(), service, key).handle((found, ex) -> {
			settle(endpoint, sentAt, ex);
			if (ex == null && found.isPresent()) {
				return CompletableFuture.completedFuture(found);
			}
			asked.add(endpoint.endpoint().name());
			CompletableFuture<Optional<RecordedResponse>> others = ask(service, key, asked);
			return (ex != null) ? others.thenCompose((result) -> failIfEmpty(result, ex)) : others;
		}).thenCompose((future) -> future);
	}

	private CompletableFuture<Optional<RecordedResponse>> notFound(ServiceSpec service, Set<String> asked) {
		long endpoints = this.context.tables()
			.plainEndpoints()
			.stream()
			.filter((endpoint) -> endpoint.service().equals(service.name()))
			.count();
		if (asked.size() < endpoints) {
			return CompletableFuture.failedFuture(new CodedException(ErrorCode.NO_ENDPOINT, "only " + asked.size()
					+ " of " + endpoints + " endpoints of " + service.name() + " could be asked"));
		}
		return CompletableFuture.completedFuture(Optional.empty());
	}

	private void settle(SelectedEndpoint endpoint, long sentAt, Throwable ex) {
		if (ex == null) {
			this.context.tables().recordSuccess(endpoint.call(), now(), now() - sentAt);
		}
		else {
			this.context.tables().recordFailure(endpoint.call(), EndpointFailure.ERROR, now());
		}
	}

	private static CompletableFuture<Optional<RecordedResponse>> failIfEmpty(Optional<RecordedResponse> result,
			Throwable ex) {
		return result.isPresent() ? CompletableFuture.completedFuture(result)
				: CompletableFuture.failedFuture(Failures.unwrap(ex));
	}

	private long now() {
		return this.context.clock().getAsLong();
	}

}
