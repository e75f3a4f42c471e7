package org.comfreyslip.coordination.digest;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digests in lower-case hexadecimal, 64 characters.
 */
public final class Sha256 {

	private Sha256() {
	}

	/**
	 * Digests one text.
	 * @param text the text, digested as UTF-8
	 * @return the digest
	 */
	public static String ofText(String text) {
		return ofBytes(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Digests bytes.
	 * @param bytes the bytes
	 * @return the digest
	 */
	public static String ofBytes(byte[] bytes) {
		return HexFormat.of().formatHex(newDigest().digest(bytes));
	}

	/**
	 * Digests several fields. Each field is preceded by its length, so that moving a
	 * character from one field to the next changes the digest.
	 * @param fields the fields, in order
	 * @return the digest
	 */
	public static String ofFields(String... fields) {
		MessageDigest digest = newDigest();
		for (String field : fields) {
			byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
			digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
			digest.update(bytes);
		}
		return HexFormat.of().formatHex(digest.digest());
	}

	private static MessageDigest newDigest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform provides SHA-256", ex);
		}
	}

}
