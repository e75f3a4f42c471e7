package org.comfreyslip.daemon.claim;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.ClaimRecord;
import org.comfreyslip.coordination.claim.ClaimStatus;
import org.comfreyslip.coordination.claim.ClaimView;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.daemon.route.SelectedEndpoint;
import org.comfreyslip.routing.endpoint.EndpointFailure;
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
		Optional<SelectedEndpoint> selected = this.context.tables()
			.select(service.name(), Set.of(), true, this.context.clock().getAsLong());
		if (selected.isEmpty()) {
			return done(OutcomeView.State.UNKNOWN);
		}
		long sentAt = this.context.clock().getAsLong();
		return this.context.calls().lookUp(selected.get().endpoint(), service, key).handle((found, ex) -> {
			long now = this.context.clock().getAsLong();
			if (ex != null) {
				this.context.tables().fail(selected.get().call(), EndpointFailure.ERROR, now);
				return new OutcomeView(OutcomeView.State.UNKNOWN, Optional.empty());
			}
			this.context.tables().succeed(selected.get().call(), now, now - sentAt);
			found.ifPresent((response) -> record(key, view, response));
			return new OutcomeView(found.isPresent() ? OutcomeView.State.DONE : OutcomeView.State.UNKNOWN, found);
		});
	}

	private void record(ClaimKey key, ClaimView view, RecordedResponse response) {
		this.context.log().offer(new ClaimRecord.Outcome(key, view.claim().nonce(), true, response));
	}

	private static CompletableFuture<OutcomeView> done(OutcomeView.State state) {
		return CompletableFuture.completedFuture(new OutcomeView(state, Optional.empty()));
	}

}
