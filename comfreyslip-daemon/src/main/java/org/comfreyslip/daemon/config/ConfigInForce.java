package org.comfreyslip.daemon.config;

import java.util.Optional;

import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.OperatorSpec;
import org.comfreyslip.routing.topology.Topology;
import org.comfreyslip.settings.DependencyGraph;
import org.comfreyslip.settings.OperatorText;

/**
 * The configuration in force in parsed form. Immutable.
 */
public final class ConfigInForce {

	private static final String FILE_NAME = "configuration in force";

	private final ConfigSnapshot snapshot;

	private final Topology topology;

	private final DependencyGraph dependencies;

	private final CredentialIndex<AccountSpec> accounts = new CredentialIndex<>();

	private final CredentialIndex<OperatorSpec> operators = new CredentialIndex<>();

	private ConfigInForce(ConfigSnapshot snapshot, Topology topology) {
		this.snapshot = snapshot;
		this.topology = topology;
		this.dependencies = new DependencyGraph(topology);
		for (AccountSpec account : topology.accounts()) {
			account.credentialDigests().forEach((digest) -> this.accounts.add(digest, account));
		}
		for (OperatorSpec operator : topology.operators()) {
			operator.credentialDigests().forEach((digest) -> this.operators.add(digest, operator));
		}
	}

	/**
	 * Parses an accepted text.
	 * @param snapshot the state of the configuration fold
	 * @return the parsed configuration
	 * @throws org.comfreyslip.coordination.CodedException with code
	 * {@code INVALID_SETTINGS} if this software version cannot apply the text
	 */
	public static ConfigInForce parse(ConfigSnapshot snapshot) {
		return new ConfigInForce(snapshot, OperatorText.parse(FILE_NAME, snapshot.text()));
	}

	/**
	 * Returns the state of the configuration fold.
	 * @return version, text and offset
	 */
	public ConfigSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns what the text defines.
	 * @return the topology
	 */
	public Topology topology() {
		return this.topology;
	}

	/**
	 * Returns what depends on what.
	 * @return the graph
	 */
	public DependencyGraph dependencies() {
		return this.dependencies;
	}

	/**
	 * Finds the client account that a bearer key belongs to.
	 * @param key the key
	 * @return the account, or empty
	 */
	public Optional<AccountSpec> findAccount(String key) {
		return this.accounts.find(key);
	}

	/**
	 * Finds the operator that a bearer key belongs to.
	 * @param key the key
	 * @return the operator, or empty
	 */
	public Optional<OperatorSpec> findOperator(String key) {
		return this.operators.find(key);
	}

}
