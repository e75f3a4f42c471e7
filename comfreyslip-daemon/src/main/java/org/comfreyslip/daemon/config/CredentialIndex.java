package org.comfreyslip.daemon.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.comfreyslip.coordination.digest.Sha256;

/**
 * Finds the owner of a bearer key by the SHA-256 digest of the key.
 * <p>
 * Keys themselves are never compared. The duration of a look-up depends only on the
 * digest of the presented key, which reveals nothing about a stored key, and digests are
 * compared in constant time.
 *
 * @param <T> the type of owners
 */
final class CredentialIndex<T> {

	private final Map<String, Credential<T>> credentials = new HashMap<>();

	void add(String digest, T owner) {
		this.credentials.put(digest, new Credential<>(digest, owner));
	}

	Optional<T> find(String key) {
		String digest = Sha256.ofText(key);
		return Optional.ofNullable(this.credentials.get(digest))
			.filter((credential) -> isEqual(credential.digest(), digest))
			.map(Credential::owner);
	}

	private static boolean isEqual(String first, String second) {
		return MessageDigest.isEqual(first.getBytes(StandardCharsets.US_ASCII),
				second.getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * A stored credential.
	 *
	 * @param <T> the type of owners
	 * @param digest the SHA-256 digest of the key, in lower-case hex
	 * @param owner the account or operator that the key belongs to
	 */
	private record Credential<T>(String digest, T owner) {
	}

}
