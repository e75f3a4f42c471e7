package org.comfreyslip.coordination.config;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.digest.Sha256;

/**
 * Difference between two configuration texts: runs of lines that are copied from the base
 * text, and lines that are inserted. {@code MembershipDelta} is the difference between
 * the member tables of two daemons.
 *
 * @param baseDigest hexadecimal SHA-256 of the text that the difference applies to
 * @param resultDigest hexadecimal SHA-256 of the text after the edits
 * @param edits the edits, in the order of the result
 */
public record ConfigDelta(String baseDigest, String resultDigest, List<Edit> edits) {

	private static final String LINE_END = "\n";

	private static final byte COPY = 0;

	private static final byte INSERT = 1;

	/**
	 * Creates a difference.
	 * @param baseDigest hexadecimal SHA-256 of the base text
	 * @param resultDigest hexadecimal SHA-256 of the resulting text
	 * @param edits the edits, copied; in the order of the resulting text
	 */
	public ConfigDelta {
		edits = List.copyOf(edits);
	}

	/**
	 * Computes the difference between two texts. The time is linear in the number of
	 * lines, because each line of the result is looked up in the base at most twice.
	 * @param base the text that the receiver has
	 * @param result the text that it needs
	 * @return the difference
	 */
	public static ConfigDelta between(String base, String result) {
		List<String> baseLines = lines(base);
		List<String> resultLines = lines(result);
		List<Edit> edits = new ArrayList<>();
		Map<String, Integer> firstIndexes = firstIndexes(baseLines);
		int nextResultLine = 0;
		int expectedBaseLine = 0;
		while (nextResultLine < resultLines.size()) {
			int start = findStart(baseLines, resultLines.get(nextResultLine), expectedBaseLine, firstIndexes);
			int count = (start < 0) ? 0 : countEqualLines(baseLines, start, resultLines, nextResultLine);
			if (count > 0) {
				edits.add(new Copy(start, count));
				nextResultLine += count;
				expectedBaseLine = start + count;
			}
			else {
				int end = findEndOfInsertion(resultLines, nextResultLine, firstIndexes);
				edits.add(new Insert(resultLines.subList(nextResultLine, end)));
				expectedBaseLine += end - nextResultLine;
				nextResultLine = end;
			}
		}
		return new ConfigDelta(Sha256.ofText(base), Sha256.ofText(result), edits);
	}

	/**
	 * Applies the difference.
	 * @param base the text that the difference was computed from
	 * @return the resulting text
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the base or the result
	 * has another digest; the receiver then has to fetch the whole text
	 */
	public String applyTo(String base) {
		requireDigest(this.baseDigest, base, "base");
		List<String> baseLines = lines(base);
		List<String> resultLines = new ArrayList<>();
		for (Edit edit : this.edits) {
			resultLines.addAll(edit.linesOf(baseLines));
		}
		String result = String.join(LINE_END, resultLines);
		requireDigest(this.resultDigest, result, "result");
		return result;
	}

	/**
	 * Encodes the difference for a message between daemons: each text as its length in
	 * bytes (four bytes, big-endian) and its UTF-8 bytes, each edit after a byte for its
	 * kind.
	 * @return the encoded difference
	 */
	public byte[] encode() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		writeText(out, this.baseDigest);
		writeText(out, this.resultDigest);
		for (Edit edit : this.edits) {
			edit.writeTo(out);
		}
		return out.toByteArray();
	}

	/**
	 * Decodes a difference.
	 * @param bytes the bytes that {@link #encode()} returned
	 * @return the decoded difference; its digests are checked by {@link #applyTo}
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the bytes are
	 * truncated or contain an unknown edit
	 */
	public static ConfigDelta decode(byte[] bytes) {
		ByteBuffer in = ByteBuffer.wrap(bytes);
		try {
			String base = readText(in);
			String result = readText(in);
			List<Edit> edits = new ArrayList<>();
			while (in.hasRemaining()) {
				edits.add(readEdit(in));
			}
			return new ConfigDelta(base, result, edits);
		}
		catch (BufferUnderflowException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the configuration difference is truncated", ex);
		}
	}

	private static Map<String, Integer> firstIndexes(List<String> lines) {
		Map<String, Integer> firstIndexes = new HashMap<>();
		for (int i = 0; i < lines.size(); i++) {
			firstIndexes.putIfAbsent(lines.get(i), i);
		}
		return firstIndexes;
	}

	// Prefers the line after the last run over the first equal line of the base, because
	// blank lines and keys repeat in every section and would otherwise split the runs.
	private static int findStart(List<String> baseLines, String line, int expectedBaseLine,
			Map<String, Integer> firstIndexes) {
		if (expectedBaseLine < baseLines.size() && baseLines.get(expectedBaseLine).equals(line)) {
			return expectedBaseLine;
		}
		return firstIndexes.getOrDefault(line, -1);
	}

	private static int countEqualLines(List<String> baseLines, int start, List<String> resultLines,
			int nextResultLine) {
		int count = 0;
		while (start + count < baseLines.size() && nextResultLine + count < resultLines.size()
				&& baseLines.get(start + count).equals(resultLines.get(nextResultLine + count))) {
			count++;
		}
		return count;
	}

	private static int findEndOfInsertion(List<String> resultLines, int nextResultLine,
			Map<String, Integer> firstIndexes) {
		int end = nextResultLine + 1;
		while (end < resultLines.size() && !firstIndexes.containsKey(resultLines.get(end))) {
			end++;
		}
		return end;
	}

	private static void requireDigest(String expectedDigest, String text, String name) {
		if (!expectedDigest.equals(Sha256.ofText(text))) {
			throw new CodedException(ErrorCode.BAD_REQUEST,
					"the " + name + " of the configuration difference has another digest than " + expectedDigest);
		}
	}

	private static List<String> lines(String text) {
		return List.of(text.split(LINE_END, -1));
	}

	private static Edit readEdit(ByteBuffer in) {
		byte kind = in.get();
		if (kind == COPY) {
			return new Copy(readCount(in), readCount(in));
		}
		if (kind == INSERT) {
			return new Insert(lines(readText(in)));
		}
		throw new CodedException(ErrorCode.BAD_REQUEST, "the configuration difference has an unknown edit " + kind);
	}

	private static void writeText(ByteArrayOutputStream out, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		writeCount(out, bytes.length);
		out.writeBytes(bytes);
	}

	private static String readText(ByteBuffer in) {
		int length = readCount(in);
		if (length < 0 || length > in.remaining()) {
			throw new BufferUnderflowException();
		}
		byte[] bytes = new byte[length];
		in.get(bytes);
		return new String(bytes, StandardCharsets.UTF_8);
	}

	private static void writeCount(ByteArrayOutputStream out, int count) {
		out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(count).array());
	}

	private static int readCount(ByteBuffer in) {
		return in.getInt();
	}

	/**
	 * One edit of a difference.
	 */
	public sealed interface Edit {

		/**
		 * Returns the lines that the edit adds to the result.
		 * @param base the lines of the base text, without line ends
		 * @return the added lines, without line ends
		 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the base lacks a
		 * line that the edit copies
		 */
		List<String> linesOf(List<String> base);

		/**
		 * Writes the edit: the byte of its kind, then its fields.
		 * @param out receives the bytes
		 */
		void writeTo(ByteArrayOutputStream out);

	}

	/**
	 * Copies lines of the base.
	 *
	 * @param start index of the first copied line in the base, from 0
	 * @param count number of copied lines
	 */
	public record Copy(int start, int count) implements Edit {

		@Override
		public List<String> linesOf(List<String> base) {
			if (this.start < 0 || this.count < 0 || this.count > base.size() - this.start) {
				throw new CodedException(ErrorCode.BAD_REQUEST,
						"the configuration difference copies lines that its base does not have");
			}
			return base.subList(this.start, this.start + this.count);
		}

		@Override
		public void writeTo(ByteArrayOutputStream out) {
			out.write(COPY);
			writeCount(out, this.start);
			writeCount(out, this.count);
		}

	}

	/**
	 * Inserts new lines.
	 *
	 * @param lines the lines without line ends
	 */
	public record Insert(List<String> lines) implements Edit {

		/**
		 * Creates an insertion.
		 * @param lines the lines without line ends, copied
		 */
		public Insert {
			lines = List.copyOf(lines);
		}

		@Override
		public List<String> linesOf(List<String> base) {
			return this.lines;
		}

		@Override
		public void writeTo(ByteArrayOutputStream out) {
			out.write(INSERT);
			writeText(out, String.join(LINE_END, this.lines));
		}

	}

}
