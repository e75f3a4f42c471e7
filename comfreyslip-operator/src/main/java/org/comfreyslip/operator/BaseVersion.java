package org.comfreyslip.operator;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigVersion;

/**
 * Version that a file was made from, as an operator states it.
 *
 * @param number the version's number
 * @param digestPrefix the first digits of its digest, or empty if only the number is
 * stated
 */
record BaseVersion(long number, String digestPrefix) {

	/** Digits of the digest that {@code show} prints. */
	private static final int PRINTED_DIGITS = 12;

	private static final Pattern FORM = Pattern.compile("([0-9]{1,18})(?::([0-9a-f]{4,64}))?");

	static BaseVersion parse(String option, String value) {
		Matcher matcher = FORM.matcher(value);
		if (!matcher.matches()) {
			throw new UsageException("--" + option + ": found " + value
					+ "; allowed: a whole number, or NUMBER:DIGEST-PREFIX with at least 4 hexadecimal digits");
		}
		String prefix = matcher.group(2);
		return new BaseVersion(Long.parseLong(matcher.group(1)), (prefix != null) ? prefix : "");
	}

	static String print(ConfigVersion version) {
		return print(version.number(), version.digest());
	}

	static String print(long number, String digest) {
		return number + ":" + digest.substring(0, Math.min(PRINTED_DIGITS, digest.length()));
	}

	/**
	 * Checks the stated digest. The number alone does not tell two logs apart.
	 * @param version the log's version with this number
	 * @throws CodedException with code {@code CONFIG_CONFLICT} if the digest differs
	 */
	void requireDigest(ConfigVersion version) {
		if (version.number() == this.number && !version.digest().startsWith(this.digestPrefix)) {
			throw new CodedException(ErrorCode.CONFIG_CONFLICT, "version " + this.number
					+ " of this log has the digest " + version.digest() + ", not " + this.digestPrefix);
		}
	}

}
