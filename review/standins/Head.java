import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** First line and fields of an HTTP message. */
final class Head {

	final String first;

	final Map<String, String> fields = new LinkedHashMap<>();

	private Head(String first) {
		this.first = first;
	}

	/** Returns the next head; null if the connection ends before one. */
	static Head read(InputStream in) throws IOException {
		String line = line(in);
		if (line == null) {
			return null;
		}
		Head head = new Head(line);
		while ((line = line(in)) != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			head.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return (line == null) ? null : head;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int next;
		while ((next = in.read()) >= 0) {
			if (next == '\n') {
				return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
			}
			bytes.write(next);
		}
		return null;
	}

	String field(String name) {
		return this.fields.get(name.toLowerCase(Locale.ROOT));
	}

	int contentLength() {
		String value = field("Content-Length");
		return (value == null) ? 0 : Integer.parseInt(value);
	}

	int status() {
		return Integer.parseInt(this.first.split(" ")[1]);
	}

	String target() {
		return this.first.split(" ")[1];
	}

	String path() {
		return target().split("\\?")[0];
	}

	String query(String name) {
		return queryOr(name, null);
	}

	String queryOr(String name, String missing) {
		String[] parts = target().split("\\?");
		for (String pair : ((parts.length > 1) ? parts[1] : "").split("&")) {
			if (pair.startsWith(name + "=")) {
				return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
			}
		}
		return missing;
	}

}
