import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a connection. */
final class Protocol {

	private Protocol() {
	}

	/** Reads a head; returns null if the connection ends before its first byte. */
	static Head readHead(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int last = 0;
		while (true) {
			int next = in.read();
			if (next < 0) {
				if (bytes.size() == 0) {
					return null;
				}
				throw new EOFException("the connection ended inside a head");
			}
			bytes.write(next);
			last = (last << 8) | next;
			if (last == 0x0d0a0d0a) {
				break;
			}
		}
		String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
		Map<String, String> fields = new TreeMap<>();
		for (int index = 1; index < lines.length; index++) {
			int colon = lines[index].indexOf(':');
			fields.put(lines[index].substring(0, colon).trim().toLowerCase(Locale.ROOT),
					lines[index].substring(colon + 1).trim());
		}
		return new Head(lines[0], fields);
	}

	/** Reads a body with a length or in chunks; throws if it ends early. */
	static byte[] readBody(InputStream in, Head head) throws IOException {
		if (head.fields().getOrDefault("transfer-encoding", "").equals("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				int size = Integer.parseInt(readLine(in), 16);
				body.write(readFully(in, size));
				readLine(in);
				if (size == 0) {
					return body.toByteArray();
				}
			}
		}
		return readFully(in, Integer.parseInt(head.fields().getOrDefault("content-length", "0")));
	}

	private static byte[] readFully(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("the connection ended inside a body");
		}
		return bytes;
	}

	static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (true) {
			int next = in.read();
			if (next < 0) {
				throw new EOFException("the connection ended inside a line");
			}
			if (next == '\n') {
				return line.toString().trim();
			}
			line.append((char) next);
		}
	}

	/** Reads the head of a response; throws if the bytes are none. */
	static Head readResponseHead(InputStream in) throws IOException {
		in.mark(4_096);
		byte[] start = in.readNBytes(5);
		if (start.length > 0 && !new String(start, StandardCharsets.ISO_8859_1).equals("HTTP/")) {
			byte[] more = new byte[60];
			int count = Math.max(0, in.read(more));
			throw new NoAnswerException(new String(start, StandardCharsets.ISO_8859_1)
					+ new String(more, 0, count, StandardCharsets.ISO_8859_1).replaceAll("[\\r\\n]+", " | "));
		}
		in.reset();
		return readHead(in);
	}

	/** Bytes that are no response where one is due. */
	static final class NoAnswerException extends IOException {

		private static final long serialVersionUID = 1L;

		NoAnswerException(String bytes) {
			super(bytes);
		}

	}

	record Head(String first, Map<String, String> fields) {

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

	}

}
