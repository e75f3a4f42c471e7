package org.comfreyslip.daemon.config;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.coordination.config.ConfigSnapshot;

/**
 * Asks another daemon for the configuration that it has in force.
 */
@FunctionalInterface
public interface PeerConfigSource {

	/**
	 * Asks one peer.
	 * @param peer the peer's gRPC address
	 * @return the peer's state, or empty if it has none; completes exceptionally if the
	 * peer does not answer
	 */
	CompletableFuture<Optional<ConfigSnapshot>> fetch(String peer);

}
