package org.comfreyslip.coordination.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulated service that executes every call, also a second one with the same key, so
 * that a second execution is detected. It checks two properties of the model in
 * {@code spec/claims.pml}: a call whose client was told "not run" did not run and does
 * not run later (P3), and no call is executed twice (P4).
 */
final class SimulatedService {

	private final Map<ClaimKey, String> executedNonces = new HashMap<>();

	private final Set<String> reportedNotRun = new HashSet<>();

	/**
	 * Executes a call.
	 * @return the response, or empty if send-by is enforced and has passed
	 */
	Optional<RecordedResponse> execute(ProtectedRequest request, long nowMillis) {
		if (request.enforcesSendBy() && nowMillis > request.sendByEpochMillis()) {
			return Optional.empty();
		}
		assertThat(this.reportedNotRun).as("P3: a call arrived after its client was told 'not run'")
			.doesNotContain(request.nonce());
		String earlier = this.executedNonces.put(request.key(), request.nonce());
		assertThat(earlier).as("P4: second execution of " + request.key()).isNull();
		return lookUp(request.key());
	}

	Optional<RecordedResponse> lookUp(ClaimKey key) {
		return Optional.ofNullable(this.executedNonces.get(key))
			.map((nonce) -> new RecordedResponse(201, "text/plain", "digest-" + nonce, "", false));
	}

	void onResult(ProtectedRequest request, ClaimResult result) {
		String nonce = this.executedNonces.get(request.key());
		if (result instanceof ClaimResult.NotRun notRun) {
			assertThat(notRun.error().isNotRun()).isTrue();
			assertThat(nonce).as("P3: 'not run' about an executed call").isNotEqualTo(request.nonce());
			this.reportedNotRun.add(request.nonce());
		}
		else if (result instanceof ClaimResult.Done done) {
			assertThat(done.response().digest()).isEqualTo("digest-" + nonce);
			assertThat(done.replayed() || request.nonce().equals(nonce)).as("response to the attempt's own call")
				.isTrue();
		}
	}

}
