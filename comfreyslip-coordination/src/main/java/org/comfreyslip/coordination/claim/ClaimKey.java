package org.comfreyslip.coordination.claim;

import java.util.Comparator;
import java.util.Locale;
import java.util.UUID;
import java.util.regex.Pattern;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The scope of a claim: an idempotency key of a client account at a service. Keys are
 * ordered by the time in the idempotency key.
 *
 * @param account the client account
 * @param service the service that is called
 * @param key the idempotency key, a UUID in canonical text form. It is stored in lower
 * case, because two spellings of one UUID must not be claimed separately.
 */
public record ClaimKey(String account, String service, String key) implements Comparable<ClaimKey> {

	private static final Pattern CANONICAL = Pattern.compile("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}");

	private static final Comparator<ClaimKey> ORDER = Comparator.comparing(ClaimKey::key)
		.thenComparing(ClaimKey::account)
		.thenComparing(ClaimKey::service);

	private static final int TIMESTAMP_SHIFT = 16;

	/**
	 * Checks the key and converts it to lower case.
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the key is not a UUID
	 */
	public ClaimKey {
		key = key.toLowerCase(Locale.ROOT);
		if (!CANONICAL.matcher(key).matches()) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the idempotency key '" + key + "' is not a UUID");
		}
	}

	/**
	 * Returns the key as a UUID.
	 * @return the UUID, of any version
	 */
	public UUID uuid() {
		return UUID.fromString(this.key);
	}

	/**
	 * Returns the time in the first 48 bits of the key (RFC 9562, section 5.7).
	 * @return milliseconds since the epoch; meaningful only for a UUID of version 7
	 */
	public long timestampEpochMillis() {
		return uuid().getMostSignificantBits() >>> TIMESTAMP_SHIFT;
	}

	@Override
	public int compareTo(ClaimKey other) {
		return ORDER.compare(this, other);
	}

}
