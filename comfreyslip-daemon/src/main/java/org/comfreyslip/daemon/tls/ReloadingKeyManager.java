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
 * Uses the certificate and key that the files hold when a connection is opened. Open
 * connections keep theirs.
 */
final class ReloadingKeyManager extends X509ExtendedKeyManager {

	/**
	 * Aliases kept. A handshake fetches the key and chain of its alias immediately, so
	 * only the newest aliases can still be in use.
	 */
	private static final int MAX_KEPT_ALIASES = 8;

	private final KeyFiles files;

	private final AtomicLong generation = new AtomicLong();

	private final Map<String, KeyEntry> entriesByAlias = new ConcurrentHashMap<>();

	private X509ExtendedKeyManager latestManager;

	ReloadingKeyManager(KeyFiles files) {
		this.files = files;
	}

	@Override
	public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
		X509ExtendedKeyManager manager = this.files.current();
		String alias = manager.chooseEngineServerAlias(keyType, issuers, engine);
		return (alias != null) ? registerAlias(manager, alias) : null;
	}

	@Override
	public PrivateKey getPrivateKey(String alias) {
		KeyEntry found = this.entriesByAlias.get(alias);
		return (found != null) ? found.manager().getPrivateKey(found.alias()) : null;
	}

	@Override
	public X509Certificate[] getCertificateChain(String alias) {
		KeyEntry found = this.entriesByAlias.get(alias);
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

	// The alias identifies the generation of the files, so that the key and the chain of
	// a handshake come from the same generation.
	private synchronized String registerAlias(X509ExtendedKeyManager manager, String alias) {
		if (manager != this.latestManager) {
			this.latestManager = manager;
			this.entriesByAlias.remove(generationAlias(this.generation.incrementAndGet() - MAX_KEPT_ALIASES));
		}
		String registered = generationAlias(this.generation.get());
		this.entriesByAlias.put(registered, new KeyEntry(manager, alias));
		return registered;
	}

	private static String generationAlias(long generation) {
		return "files-" + generation;
	}

	/**
	 * A key of one generation of the files.
	 *
	 * @param manager the key manager of the generation
	 * @param alias the alias of the key in that manager
	 */
	private record KeyEntry(X509ExtendedKeyManager manager, String alias) {
	}

}
