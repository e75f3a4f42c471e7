package org.comfreyslip.daemon.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.daemon.DaemonEvent;

/**
 * Holds the configuration in force. Its lock is taken before all table locks.
 */
public final class ConfigHolder {

	private final List<Consumer<ConfigInForce>> listeners = new CopyOnWriteArrayList<>();

	private ConfigSnapshot accepted = ConfigSnapshot.INITIAL;

	private volatile ConfigInForce current;

	private volatile boolean applicable = true;

	/**
	 * Adds a listener that is called, in the order of versions, for each configuration
	 * that comes into force.
	 * @param listener the listener
	 */
	public void addListener(Consumer<ConfigInForce> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Puts an accepted configuration into force. A text that cannot be applied leaves the
	 * earlier one in use and makes the daemon unready.
	 * @param snapshot the state of the configuration fold
	 * @param author who proposed it, or an empty text if not known
	 * @throws CodedException with code {@code INVARIANT_VIOLATED} if the version would go
	 * down
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
			this.current = next;
			this.applicable = true;
			DaemonEvent.CONFIG_IN_FORCE.log(snapshot.version().number(), author);
		}
		catch (CodedException ex) {
			this.applicable = false;
			DaemonEvent.CONFIG_NOT_APPLICABLE.log(snapshot.version().number(), ex.getMessage());
		}
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one
	 */
	public Optional<ConfigInForce> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Returns the newest accepted state, whether or not it can be applied.
	 * @return the state
	 */
	public synchronized ConfigSnapshot accepted() {
		return this.accepted;
	}

	/**
	 * Returns whether the newest accepted configuration is the one in use.
	 * @return {@code false} before the first configuration and after one that cannot be
	 * applied
	 */
	public boolean isReady() {
		return this.current != null && this.applicable;
	}

}
