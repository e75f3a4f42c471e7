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
 * Finds the outcome of a key for a caller that asks. A result found at the service is
 * recorded, so that later requests with the key get it.
 */
final class OutcomeLookup {

	private static final String NO_NONCE = "";

	private final ClaimContext context;

	OutcomeLookup(ClaimContext context) {
		this.context = context;
	}

	CompletableFuture<OutcomeView> find(ClaimKey key, ServiceSpec service) {
		ClaimView view = this.context.log().view(key, NO_NONCE);
		if (!view.complete()) {
			return done(OutcomeView.State.NOT_CHECKED);
		}
		if (view.status() == ClaimStatus.DONE) {
			return CompletableFuture
				.completedFuture(new OutcomeView(OutcomeView.State.DONE, Optional.of(view.outcome().response())));
		}
		if (view.status() == ClaimStatus.FREE) {
			return done(OutcomeView.State.NOT_CLAIMED);
		}
		return service.lookup().isPresent() ? ask(key, service, view) : done(OutcomeView.State.UNKNOWN);
	}

	private CompletableFuture<OutcomeView> ask(ClaimKey key, ServiceSpec service, ClaimView view) {
		return new KeyLookup(this.context).find(service, key).handle((found, ex) -> {
			Optional<RecordedResponse> response = (ex != null) ? Optional.empty() : found;
			response.ifPresent((result) -> record(key, view, result));
			return new OutcomeView(response.isPresent() ? OutcomeView.State.DONE : OutcomeView.State.UNKNOWN, response);
		});
	}

	private void record(ClaimKey key, ClaimView view, RecordedResponse response) {
		this.context.log().offer(new ClaimRecord.Outcome(key, view.claim().nonce(), true, response));
	}

	private static CompletableFuture<OutcomeView> done(OutcomeView.State state) {
		return CompletableFuture.completedFuture(new OutcomeView(state, Optional.empty()));
	}

}
