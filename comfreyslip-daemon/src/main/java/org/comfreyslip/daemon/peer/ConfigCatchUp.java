package org.comfreyslip.daemon.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.config.ConfigHolder;

/**
 * Fetches the configuration from peers: the whole state at the start, and the difference
 * when gossip shows a newer version.
 */
final class ConfigCatchUp {

	private final PeerClients clients;

	private final ConfigHolder holder;

	private final Consumer<ConfigSnapshot> follower;

	private final AtomicBoolean open = new AtomicBoolean();

	private volatile boolean wholeNext;

	ConfigCatchUp(PeerClients clients, ConfigHolder holder, Consumer<ConfigSnapshot> follower) {
		this.clients = clients;
		this.holder = holder;
		this.follower = follower;
	}

	CompletableFuture<Optional<ConfigSnapshot>> fetch(String address) {
		return this.clients.fetchConfig(address, "").thenApply((reply) -> ConfigMessages.read(reply, ""));
	}

	/**
	 * Moves to a peer's newer version. Has no effect while another fetch is open.
	 * @param address the peer's gRPC address
	 */
	void moveTo(String address) {
		if (!this.open.compareAndSet(false, true)) {
			return;
		}
		ConfigSnapshot own = this.holder.accepted();
		boolean whole = this.wholeNext || own.version().number() == 0;
		String known = whole ? "" : own.text();
		this.clients.fetchConfig(address, whole ? "" : own.version().digest())
			.thenAccept((reply) -> ConfigMessages.read(reply, known).ifPresent(this.follower))
			.whenComplete((done, ex) -> settle(address, ex));
	}

	private void settle(String address, Throwable failure) {
		boolean first = failure != null && !this.wholeNext;
		// After a difference that does not apply the whole text is fetched.
		this.wholeNext = failure != null;
		this.open.set(false);
		if (first) {
			DaemonEvent.PEER_CONFIG_FAILED.log(address, failure.getMessage());
		}
	}

}
