package org.comfreyslip.daemon.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.ClaimRecord;
import org.comfreyslip.coordination.claim.ClaimStatus;
import org.comfreyslip.coordination.claim.ClaimView;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.routing.topology.ServiceSpec;

/**
 * Finds the outcome of a key for a client that queries it. A result found at the service
 * is recorded in the claim stream, so that later requests with the key receive it.
 */
final class OutcomeLookup {

	private static final String NO_NONCE = "";

	private final ClaimContext context;

	OutcomeLookup(ClaimContext context) {
		this.context = context;
	}

	CompletableFuture<OutcomeView> find(ClaimKey key, ServiceSpec service) {
		ClaimView view = this.context.claimLog().view(key, NO_NONCE);
		if (!view.complete()) {
			return withoutResponse(OutcomeView.State.NOT_CHECKED);
		}
		if (view.status() == ClaimStatus.DONE) {
			return CompletableFuture
				.completedFuture(new OutcomeView(OutcomeView.State.DONE, Optional.of(view.outcome().response())));
		}
		if (view.status() == ClaimStatus.FREE) {
			return withoutResponse(OutcomeView.State.NOT_CLAIMED);
		}
		return service.lookup().isPresent() ? lookUpAtService(key, service, view)
				: withoutResponse(OutcomeView.State.UNKNOWN);
	}

	private CompletableFuture<OutcomeView> lookUpAtService(ClaimKey key, ServiceSpec service, ClaimView view) {
		return new KeyLookup(this.context).find(service, key).handle((found, ex) -> {
			Optional<RecordedResponse> response = (ex != null) ? Optional.empty() : found;
			response.ifPresent((result) -> recordOutcome(key, view, result));
			return new OutcomeView(response.isPresent() ? OutcomeView.State.DONE : OutcomeView.State.UNKNOWN, response);
		});
	}

	private void recordOutcome(ClaimKey key, ClaimView view, RecordedResponse response) {
		this.context.claimLog().offer(new ClaimRecord.Outcome(key, view.claim().nonce(), true, response));
	}

	private static CompletableFuture<OutcomeView> withoutResponse(OutcomeView.State state) {
		return CompletableFuture.completedFuture(new OutcomeView(state, Optional.empty()));
	}

}
