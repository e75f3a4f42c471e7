package org.comfreyslip.daemon.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.daemon.DaemonEvent;

/**
 * Holds the configuration in force. Thread-safe. Lock order: the lock of this object is
 * taken before all table locks.
 */
public final class ConfigHolder {

	private final List<Consumer<ConfigInForce>> listeners = new CopyOnWriteArrayList<>();

	private ConfigSnapshot accepted = ConfigSnapshot.INITIAL;

	private volatile ConfigInForce inForce;

	private volatile boolean acceptedIsInForce = true;

	/**
	 * Adds a listener that is called, in the order of versions, before a configuration
	 * comes into force.
	 * @param listener applies the configuration; it is called with the lock of this
	 * object held and may throw a {@link CodedException} if the configuration cannot be
	 * applied
	 */
	public void addListener(Consumer<ConfigInForce> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Puts an accepted configuration into force. If its text cannot be applied, the
	 * earlier configuration stays in force and the daemon reports that it is not ready.
	 * @param snapshot the accepted version, its text and its position in the log
	 * @param author who proposed it, or an empty text if unknown
	 * @throws CodedException with code {@code INVARIANT_VIOLATED} if the snapshot is
	 * older than the accepted one
	 */
	public synchronized void accept(ConfigSnapshot snapshot, String author) {
		snapshot.assertNotBehind(this.accepted);
		boolean sameVersion = snapshot.version().number() == this.accepted.version().number();
		this.accepted = snapshot;
		if (sameVersion) {
			return;
		}
		try {
			ConfigInForce next = ConfigInForce.parse(snapshot);
			this.listeners.forEach((listener) -> listener.accept(next));
			this.inForce = next;
			this.acceptedIsInForce = true;
			DaemonEvent.CONFIG_IN_FORCE.log(snapshot.version().number(), author);
		}
		catch (CodedException ex) {
			this.acceptedIsInForce = false;
			DaemonEvent.CONFIG_NOT_APPLICABLE.log(snapshot.version().number(), ex.getMessage());
		}
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one
	 */
	public Optional<ConfigInForce> current() {
		return Optional.ofNullable(this.inForce);
	}

	/**
	 * Returns the newest accepted state, whether or not its text can be applied.
	 * @return the state; {@link ConfigSnapshot#INITIAL} before the first one
	 */
	public synchronized ConfigSnapshot accepted() {
		return this.accepted;
	}

	/**
	 * Returns whether the newest accepted configuration is in force.
	 * @return {@code false} before the first configuration and after one that cannot be
	 * applied
	 */
	public boolean isReady() {
		return this.inForce != null && this.acceptedIsInForce;
	}

}
