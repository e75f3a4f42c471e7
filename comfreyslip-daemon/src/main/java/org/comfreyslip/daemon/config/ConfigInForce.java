package org.comfreyslip.daemon.config;

import java.util.Optional;

import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.OperatorSpec;
import org.comfreyslip.routing.topology.Topology;
import org.comfreyslip.settings.DependencyGraph;
import org.comfreyslip.settings.OperatorText;

/**
 * An accepted configuration in parsed form, with indexes of its credentials. Immutable.
 */
public final class ConfigInForce {

	private static final String SOURCE_NAME = "configuration in force";

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
	 * Parses the text of an accepted configuration.
	 * @param snapshot the accepted version, its text and its position in the log
	 * @return the parsed configuration
	 * @throws org.comfreyslip.coordination.CodedException with code
	 * {@code INVALID_SETTINGS} if this software version cannot apply the text
	 */
	public static ConfigInForce parse(ConfigSnapshot snapshot) {
		return new ConfigInForce(snapshot, OperatorText.parse(SOURCE_NAME, snapshot.text()));
	}

	/**
	 * Returns the accepted state that was parsed.
	 * @return the version, its text and its position in the log
	 */
	public ConfigSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns what the text defines.
	 * @return the services, models, endpoints, accounts and operators
	 */
	public Topology topology() {
		return this.topology;
	}

	/**
	 * Returns the dependencies between services and models.
	 * @return the dependency graph
	 */
	public DependencyGraph dependencies() {
		return this.dependencies;
	}

	/**
	 * Finds the client account that a bearer key belongs to.
	 * @param key the bearer key as the client sent it
	 * @return the account, or empty if no account has this key
	 */
	public Optional<AccountSpec> findAccount(String key) {
		return this.accounts.find(key);
	}

	/**
	 * Finds the operator that a bearer key belongs to.
	 * @param key the bearer key as the operator sent it
	 * @return the operator, or empty if no operator has this key
	 */
	public Optional<OperatorSpec> findOperator(String key) {
		return this.operators.find(key);
	}

}
