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
 * when an exchange reports a newer version.
 */
final class PeerConfigFetcher {

	private final PeerClients clients;

	private final ConfigHolder holder;

	private final Consumer<ConfigSnapshot> snapshotConsumer;

	private final AtomicBoolean fetchInProgress = new AtomicBoolean();

	private volatile boolean fetchWholeTextNext;

	PeerConfigFetcher(PeerClients clients, ConfigHolder holder, Consumer<ConfigSnapshot> snapshotConsumer) {
		this.clients = clients;
		this.holder = holder;
		this.snapshotConsumer = snapshotConsumer;
	}

	CompletableFuture<Optional<ConfigSnapshot>> fetch(String address) {
		return this.clients.fetchConfig(address, "").thenApply((reply) -> ConfigMessages.readReply(reply, ""));
	}

	/**
	 * Fetches a peer's newer version and passes it on. Has no effect while an earlier
	 * update is in progress.
	 * @param address the peer's gRPC address
	 */
	void updateFrom(String address) {
		if (!this.fetchInProgress.compareAndSet(false, true)) {
			return;
		}
		ConfigSnapshot own = this.holder.accepted();
		boolean whole = this.fetchWholeTextNext || own.version().number() == 0;
		String known = whole ? "" : own.text();
		this.clients.fetchConfig(address, whole ? "" : own.version().digest())
			.thenAccept((reply) -> ConfigMessages.readReply(reply, known).ifPresent(this.snapshotConsumer))
			.whenComplete((done, ex) -> finishUpdate(address, ex));
	}

	private void finishUpdate(String address, Throwable failure) {
		boolean isFirstFailure = failure != null && !this.fetchWholeTextNext;
		// After any failure, such as a difference that does not apply, the whole text is
		// fetched.
		this.fetchWholeTextNext = failure != null;
		this.fetchInProgress.set(false);
		if (isFirstFailure) {
			DaemonEvent.PEER_CONFIG_FAILED.log(address, failure.getMessage());
		}
	}

}
