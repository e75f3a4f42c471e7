package org.comfreyslip.entry.reach;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.model.Endpoint;

/**
 * Endpoints that refused a connection. Their processes have ended, unless this daemon is
 * cut off from them: that shows as soon as another connection opens or trials fail.
 */
public final class RefusedConnections {

	/** Time after which a refusal that nothing has proved is forgotten, in ns. */
	private static final long PROOF_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<String, Refusal> refusals = new HashMap<>();

	/**
	 * Records a refused connection. Until it is proved or forgotten, further ones of the
	 * endpoint change nothing.
	 * @param endpoint the endpoint
	 * @param nowNanos the current steady time in ns
	 */
	public void add(Endpoint endpoint, long nowNanos) {
		this.refusals.putIfAbsent(endpoint.processId(), new Refusal(endpoint, nowNanos));
	}

	/**
	 * Returns the endpoints whose processes are now known to have ended, and forgets the
	 * refusals that are too old.
	 * @param reach whether connections have opened since
	 * @param nowNanos the current steady time in ns
	 * @return the endpoints, each once; may be empty
	 */
	public List<Endpoint> takeEnded(EndpointReach reach, long nowNanos) {
		List<Endpoint> ended = new ArrayList<>();
		this.refusals.values().removeIf((refusal) -> {
			boolean proven = reach.isProvenSince(refusal.atNanos());
			if (proven) {
				ended.add(refusal.endpoint());
			}
			return proven || nowNanos - refusal.atNanos() > PROOF_TIMEOUT_NANOS;
		});
		return ended;
	}

	/**
	 * Tells whether refusals wait for a proof.
	 * @return whether there are any
	 */
	public boolean isEmpty() {
		return this.refusals.isEmpty();
	}

	private record Refusal(Endpoint endpoint, long atNanos) {
	}

}
