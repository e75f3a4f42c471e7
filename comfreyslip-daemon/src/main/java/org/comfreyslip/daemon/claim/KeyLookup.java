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
 * Looks up the result for a key at the endpoints of a service, one after another.
 * Endpoints may not share their records, so a result is known to be missing only if every
 * endpoint reports that it has none.
 */
final class KeyLookup {

	private final ClaimContext context;

	KeyLookup(ClaimContext context) {
		this.context = context;
	}

	/**
	 * Looks up the result for a key.
	 * @param service a service with a look-up path
	 * @param key the claimed key
	 * @return the result, or empty if every endpoint reported that it has none; completes
	 * exceptionally if no endpoint returned it and at least one of them could not be
	 * queried
	 */
	CompletableFuture<Optional<RecordedResponse>> find(ServiceSpec service, ClaimKey key) {
		return queryNext(service, key, new HashSet<>());
	}

	private CompletableFuture<Optional<RecordedResponse>> queryNext(ServiceSpec service, ClaimKey key,
			Set<String> queried) {
		long sentAtNanos = now();
		Optional<SelectedEndpoint> selected = this.context.tables().select(service.name(), queried, true, sentAtNanos);
		if (selected.isEmpty()) {
			return completeWithoutResult(service, queried);
		}
		SelectedEndpoint endpoint = selected.get();
		return this.context.serviceCalls().lookUp(endpoint.endpoint(), service, key).handle((found, ex) -> {
			recordCallOutcome(endpoint, sentAtNanos, ex);
			if (ex == null && found.isPresent()) {
				return CompletableFuture.completedFuture(found);
			}
			queried.add(endpoint.endpoint().name());
			CompletableFuture<Optional<RecordedResponse>> remaining = queryNext(service, key, queried);
			return (ex != null) ? remaining.thenCompose((result) -> failIfEmpty(result, ex)) : remaining;
		}).thenCompose((future) -> future);
	}

	private CompletableFuture<Optional<RecordedResponse>> completeWithoutResult(ServiceSpec service,
			Set<String> queried) {
		long endpointCount = this.context.tables()
			.plainEndpoints()
			.stream()
			.filter((endpoint) -> endpoint.service().equals(service.name()))
			.count();
		if (queried.size() < endpointCount) {
			return CompletableFuture.failedFuture(new CodedException(ErrorCode.NO_ENDPOINT, "only " + queried.size()
					+ " of " + endpointCount + " endpoints of " + service.name() + " could be queried"));
		}
		return CompletableFuture.completedFuture(Optional.empty());
	}

	private void recordCallOutcome(SelectedEndpoint endpoint, long sentAtNanos, Throwable ex) {
		if (ex == null) {
			this.context.tables().recordSuccess(endpoint.call(), now(), now() - sentAtNanos);
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
