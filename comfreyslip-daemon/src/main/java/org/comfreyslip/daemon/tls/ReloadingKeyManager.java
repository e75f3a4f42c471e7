package org.comfreyslip.daemon.tls;

import java.net.Socket;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedKeyManager;

/**
 * Picks the key of the files for each new connection. Open connections keep theirs.
 */
final class ReloadingKeyManager extends X509ExtendedKeyManager {

	/**
	 * Aliases kept. A handshake asks for its alias's key and chain at once, so only the
	 * newest few can still be asked for.
	 */
	private static final int KEPT = 8;

	private final KeyFiles files;

	private final AtomicLong generation = new AtomicLong();

	private final Map<String, Chosen> chosen = new ConcurrentHashMap<>();

	private X509ExtendedKeyManager last;

	ReloadingKeyManager(KeyFiles files) {
		this.files = files;
	}

	@Override
	public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
		X509ExtendedKeyManager manager = this.files.current();
		String alias = manager.chooseEngineServerAlias(keyType, issuers, engine);
		return (alias != null) ? remember(manager, alias) : null;
	}

	@Override
	public PrivateKey getPrivateKey(String alias) {
		Chosen found = this.chosen.get(alias);
		return (found != null) ? found.manager().getPrivateKey(found.alias()) : null;
	}

	@Override
	public X509Certificate[] getCertificateChain(String alias) {
		Chosen found = this.chosen.get(alias);
		return (found != null) ? found.manager().getCertificateChain(found.alias()) : null;
	}

	@Override
	public String chooseServerAlias(String keyType, Principal[] issuers, Socket socket) {
		return chooseEngineServerAlias(keyType, issuers, null);
	}

	@Override
	public String[] getServerAliases(String keyType, Principal[] issuers) {
		return this.files.current().getServerAliases(keyType, issuers);
	}

	@Override
	public String[] getClientAliases(String keyType, Principal[] issuers) {
		return null;
	}

	@Override
	public String chooseClientAlias(String[] keyTypes, Principal[] issuers, Socket socket) {
		return null;
	}

	// The alias names the version of the files, so that key and chain come from the same.
	private synchronized String remember(X509ExtendedKeyManager manager, String alias) {
		if (manager != this.last) {
			this.last = manager;
			this.chosen.remove(name(this.generation.incrementAndGet() - KEPT));
		}
		String name = name(this.generation.get());
		this.chosen.put(name, new Chosen(manager, alias));
		return name;
	}

	private static String name(long generation) {
		return "files-" + generation;
	}

	/**
	 * A key of one version of the files.
	 *
	 * @param manager the key manager of the version
	 * @param alias the alias there
	 */
	private record Chosen(X509ExtendedKeyManager manager, String alias) {
	}

}
