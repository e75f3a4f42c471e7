package org.comfreyslip.entry.http;

import java.util.Optional;

import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.prompt.Prompt;
import org.comfreyslip.entry.reach.RelayPeer;

/**
 * Where a send goes: an endpoint of a plain service, the first endpoint of a path, or
 * another daemon.
 *
 * @param endpoint the endpoint; empty if the target is a daemon
 * @param path the path; empty for plain services and daemons
 * @param tokens number of tokens to reserve on the path; 0 without a path
 * @param prompt the prompt; empty without a path
 * @param daemon the daemon that the request is passed on to; empty if the target is an
 * endpoint
 */
record SendTarget(Optional<Endpoint> endpoint, Optional<LayerPath> path, int tokens, Optional<Prompt> prompt,
		Optional<RelayPeer> daemon) {

	static SendTarget of(Endpoint endpoint) {
		return new SendTarget(Optional.of(endpoint), Optional.empty(), 0, Optional.empty(), Optional.empty());
	}

	static SendTarget of(LayerPath path, int tokens, Prompt prompt) {
		return new SendTarget(Optional.of(path.firstEndpoint()), Optional.of(path), tokens, Optional.of(prompt),
				Optional.empty());
	}

	static SendTarget of(RelayPeer daemon) {
		return new SendTarget(Optional.empty(), Optional.empty(), 0, Optional.empty(), Optional.of(daemon));
	}

	/**
	 * Returns the name of the target in the log, and in the limit on attempts.
	 * @return the identity of the endpoint, or the name of the daemon with a prefix
	 */
	String label() {
		return this.endpoint.map(Endpoint::id).orElseGet(() -> "through:" + this.daemon.get().name());
	}

}
