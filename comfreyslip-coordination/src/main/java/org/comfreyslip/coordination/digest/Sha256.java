package org.comfreyslip.coordination.digest;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes SHA-256 digests as 64 lower-case hexadecimal characters.
 */
public final class Sha256 {

	private Sha256() {
	}

	/**
	 * Computes the digest of a text.
	 * @param text the text, encoded as UTF-8
	 * @return 64 lower-case hexadecimal characters
	 */
	public static String ofText(String text) {
		return ofBytes(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Computes the digest of bytes.
	 * @param bytes the bytes, possibly empty
	 * @return 64 lower-case hexadecimal characters
	 */
	public static String ofBytes(byte[] bytes) {
		return HexFormat.of().formatHex(newDigest().digest(bytes));
	}

	/**
	 * Computes the digest of a sequence of fields. Each field is preceded by its length
	 * in bytes, so that moving a character from one field to the next changes the digest.
	 * @param fields the fields in order, each encoded as UTF-8
	 * @return 64 lower-case hexadecimal characters
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
