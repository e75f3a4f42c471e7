package org.comfreyslip.coordination.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Service that records each execution and does not remove duplicates, so that a second
 * execution is seen. Checks P3 and P4 whenever a call arrives or a caller is answered.
 */
final class ClaimRunService {

	private final Map<ClaimKey, String> executed = new HashMap<>();

	private final Set<String> toldNotRun = new HashSet<>();

	/**
	 * Executes a call.
	 * @return the response, or nothing if send-by is enforced and has passed
	 */
	Optional<RecordedResponse> execute(ProtectedRequest request, long nowMillis) {
		if (request.enforcesSendBy() && nowMillis > request.sendByEpochMillis()) {
			return Optional.empty();
		}
		assertThat(this.toldNotRun).as("P3: a call arrived after its caller was told 'not run'")
			.doesNotContain(request.nonce());
		String earlier = this.executed.put(request.key(), request.nonce());
		assertThat(earlier).as("P4: second execution of " + request.key()).isNull();
		return lookUp(request.key());
	}

	Optional<RecordedResponse> lookUp(ClaimKey key) {
		return Optional.ofNullable(this.executed.get(key))
			.map((nonce) -> new RecordedResponse(201, "text/plain", "digest-" + nonce, "", false));
	}

	void answered(ProtectedRequest request, ClaimResult result) {
		String nonce = this.executed.get(request.key());
		if (result instanceof ClaimResult.NotRun notRun) {
			assertThat(notRun.error().isNotRun()).isTrue();
			assertThat(nonce).as("P3: 'not run' about an executed call").isNotEqualTo(request.nonce());
			this.toldNotRun.add(request.nonce());
		}
		else if (result instanceof ClaimResult.Done done) {
			assertThat(done.response().digest()).isEqualTo("digest-" + nonce);
			assertThat(done.replayed() || request.nonce().equals(nonce)).as("response to the attempt's own call")
				.isTrue();
		}
	}

}
