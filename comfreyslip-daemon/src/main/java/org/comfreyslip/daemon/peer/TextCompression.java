package org.comfreyslip.daemon.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Compresses and decompresses the configuration texts in messages.
 */
final class TextCompression {

	private TextCompression() {
	}

	static byte[] compress(byte[] bytes) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
			deflater.write(bytes);
		}
		catch (IOException ex) {
			throw new IllegalStateException("a write to memory failed", ex);
		}
		return out.toByteArray();
	}

	/**
	 * Decompresses a message.
	 * @param bytes the compressed bytes
	 * @param maxBytes maximum size of the result, so that a damaged message cannot
	 * exhaust the memory
	 * @return the decompressed bytes
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the bytes are damaged
	 * or the result is too large
	 */
	static byte[] decompress(byte[] bytes, int maxBytes) {
		try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
			byte[] result = in.readNBytes(maxBytes);
			if (in.read() >= 0) {
				throw new CodedException(ErrorCode.BAD_REQUEST, "the text has more than " + maxBytes + " bytes");
			}
			return result;
		}
		catch (IOException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the compressed text is damaged", ex);
		}
	}

}
