package org.comfreyslip.daemon.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the owner of a bearer key by the SHA-256 digest of the key.
 * <p>
 * The key itself is never compared: its digest selects the entry, and the digests are
 * then compared in constant time. The time of the look-up depends on the digest only,
 * from which nothing about a stored key follows.
 *
 * @param <T> the type of owners
 */
final class CredentialIndex<T> {

	private final Map<String, T> owners = new HashMap<>();

	void add(String digest, T owner) {
		this.owners.put(digest, owner);
	}

	Optional<T> find(String key) {
		byte[] digest = digest(key);
		String text = HexFormat.of().formatHex(digest);
		for (Map.Entry<String, T> entry : candidates(text)) {
			if (MessageDigest.isEqual(HexFormat.of().parseHex(entry.getKey()), digest)) {
				return Optional.of(entry.getValue());
			}
		}
		return Optional.empty();
	}

	private Iterable<Map.Entry<String, T>> candidates(String digest) {
		T owner = this.owners.get(digest);
		return (owner != null) ? java.util.List.of(Map.entry(digest, owner)) : java.util.List.of();
	}

	private static byte[] digest(String key) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
