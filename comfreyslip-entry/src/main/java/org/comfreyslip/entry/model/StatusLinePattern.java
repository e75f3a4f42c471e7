package org.comfreyslip.entry.model;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Finds the status line of an HTTP response in text, where it shows that the text holds a
 * part of another response.
 */
public final class StatusLinePattern {

	private static final byte[] PROTOCOL_NAME = "HTTP/".getBytes(StandardCharsets.US_ASCII);

	/**
	 * A valid status line (RFC 9112, section 4). The reason phrase holds no control
	 * characters besides the tab.
	 */
	private static final Pattern VALID = Pattern
		.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: [\\t\\x20-\\x7e\\x80-\\x84\\x86-\\xff]*)?");

	/**
	 * A status line, also one that only a tolerant reader accepts. What follows the
	 * status tells it from other text, such as an address.
	 */
	private static final Pattern STATUS_LINE = Pattern
		.compile("(?i)HTTP/[0-9]+\\.[0-9]+[ \\t]+[+0]?[0-9]{2,3}(?=[ \\t\\r\\n]|$)");

	private StatusLinePattern() {
	}

	/**
	 * Tells whether a text holds a status line.
	 * @param text the text
	 * @return whether one begins anywhere in it
	 */
	public static boolean isIn(String text) {
		return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
	}

	/**
	 * Tells whether bytes may hold a status line, without decoding them.
	 * @param bytes holds them; not modified
	 * @param start index of the first byte
	 * @param end index after the last byte
	 * @return whether they hold the name of the protocol
	 */
	public static boolean mayBeIn(byte[] bytes, int start, int end) {
		int matched = 0;
		for (int index = start; index < end && matched < PROTOCOL_NAME.length; index++) {
			if (bytes[index] == PROTOCOL_NAME[matched]) {
				matched++;
			}
			else {
				matched = (bytes[index] == PROTOCOL_NAME[0]) ? 1 : 0;
			}
		}
		return matched == PROTOCOL_NAME.length;
	}

	/**
	 * Tells whether a line is a valid status line.
	 * @param line the line, without its end
	 * @return whether it is
	 */
	public static boolean matches(CharSequence line) {
		return VALID.matcher(line).matches();
	}

	/**
	 * Tells whether a text begins with a status line.
	 * @param text the text
	 * @return whether one is at its start
	 */
	public static boolean isAtStartOf(String text) {
		return STATUS_LINE.matcher(text).lookingAt();
	}

}
