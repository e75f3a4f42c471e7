package org.comfreyslip.operator;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Input and output of the command. Results go to the standard output and progress and
 * errors to the standard error, so that a pipe receives results alone.
 *
 * @param in the standard input
 * @param out the standard output
 * @param err the standard error
 */
public record Console(InputStream in, PrintStream out, PrintStream err) {

	private static final Pattern UNPRINTABLE = Pattern.compile("[\\p{Cc}\\p{Cf}&&[^\n\r\t]]");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Prints a result.
	 * @param json whether to print JSON
	 * @param value the result as an object that Jackson can write
	 * @param lines the result as text
	 */
	void result(boolean json, Object value, List<String> lines) {
		if (json) {
			this.out.println(toJson(value));
			return;
		}
		lines.forEach((line) -> this.out.println(printable(line)));
	}

	/**
	 * Prints a line of progress or an error.
	 * @param line the text
	 */
	void note(String line) {
		this.err.println(printable(line));
	}

	/**
	 * Reads the standard input up to a limit.
	 * @param maxBytes the limit; one byte more is read, so that the caller can tell
	 * @return the bytes
	 */
	byte[] readInput(int maxBytes) {
		try {
			return this.in.readNBytes(maxBytes + 1);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Names and texts from the log and from daemons could contain sequences that alter a
	// terminal.
	private static String printable(String line) {
		return UNPRINTABLE.matcher(line).replaceAll("\uFFFD");
	}

	private static String toJson(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
