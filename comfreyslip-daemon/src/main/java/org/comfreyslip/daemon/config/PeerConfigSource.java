package org.comfreyslip.daemon.config;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.coordination.config.ConfigSnapshot;

/**
 * Fetches the configuration state of another daemon.
 */
@FunctionalInterface
public interface PeerConfigSource {

	/**
	 * Fetches the configuration state of one peer.
	 * @param peer the peer's gRPC address
	 * @return the peer's state, or empty if it has none; completes exceptionally if the
	 * peer does not respond
	 */
	CompletableFuture<Optional<ConfigSnapshot>> fetch(String peer);

}
