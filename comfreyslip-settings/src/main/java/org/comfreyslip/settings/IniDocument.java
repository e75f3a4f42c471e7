package org.comfreyslip.settings;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniParser;

/**
 * Sections and lines of an INI text. Sections and keys that occur more than once are
 * kept, so that a check can report them.
 *
 * @param sections the sections in the order of the text
 * @param faults faults of encoding, size and syntax; a text that is rejected as a whole
 * has no sections, and one fault, or {@value #MAX_SYNTAX_FAULTS} if at least that many
 * lines have a syntax error
 */
public record IniDocument(List<IniSection> sections, List<SettingsFault> faults) {

	/** Size limit of a text, in bytes of UTF-8. */
	public static final int MAX_BYTES = 4 * 1024 * 1024;

	/** Largest number of lines in a text. */
	public static final int MAX_LINES = 1_000_000;

	/**
	 * Largest number of lines with a syntax error that are reported. Each costs one more
	 * pass over the text, because the parser stops at the first error.
	 */
	static final int MAX_SYNTAX_FAULTS = 20;

	private static final Pattern ERROR_LINE = Pattern.compile("at line: (\\d+)");

	/**
	 * Decodes a file's content from UTF-8.
	 * @param fileName the file name that faults report; the file is not read
	 * @param content the bytes of the file
	 * @return the text
	 * @throws CodedException with code {@code INVALID_SETTINGS} if the content is not
	 * UTF-8 or larger than {@link #MAX_BYTES}
	 */
	public static String decode(String fileName, byte[] content) {
		if (content.length > MAX_BYTES) {
			throw toException(sizeFault(fileName, content.length + " bytes"));
		}
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(content)).toString();
		}
		catch (CharacterCodingException ex) {
			throw toException(encodingFault(fileName));
		}
	}

	/**
	 * Parses a text. Lines with a syntax error become faults and are skipped.
	 * @param fileName the file name that faults report; the file is not read
	 * @param text the INI text
	 * @return the sections, and the faults of size, encoding and syntax; see the
	 * components of the record
	 */
	public static IniDocument parse(String fileName, String text) {
		long lines = text.lines().count();
		if (lines > MAX_LINES) {
			return rejectWhole(sizeFault(fileName, lines + " lines"));
		}
		if (text.length() > MAX_BYTES) {
			return rejectWhole(sizeFault(fileName, text.length() + " characters"));
		}
		if (!StandardCharsets.UTF_8.newEncoder().canEncode(text) || text.indexOf('\uFFFD') >= 0) {
			return rejectWhole(encodingFault(fileName));
		}
		int bytes = text.getBytes(StandardCharsets.UTF_8).length;
		if (bytes > MAX_BYTES) {
			return rejectWhole(sizeFault(fileName, bytes + " bytes"));
		}
		return parseLines(fileName, text);
	}

	private static IniDocument parseLines(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		String remaining = text;
		for (int pass = 0; pass < MAX_SYNTAX_FAULTS; pass++) {
			IniCollector collector = new IniCollector();
			try {
				IniParser.newInstance(parserConfig()).parse(new StringReader(remaining), collector);
				return new IniDocument(collector.sections(), faults.toList());
			}
			catch (InvalidFileFormatException ex) {
				int line = errorLine(ex);
				String[] lines = remaining.split("\r\n|\r|\n", -1);
				faults.add("", "", "line " + line + ": " + lines[line - 1].strip(),
						"[section], key = value, or # comment", "correct this line");
				lines[line - 1] = "";
				remaining = String.join("\n", lines);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
		return new IniDocument(List.of(), faults.toList());
	}

	private static int errorLine(InvalidFileFormatException ex) {
		Matcher matcher = ERROR_LINE.matcher(ex.getMessage());
		if (!matcher.find()) {
			throw new CodedException(ErrorCode.INVALID_SETTINGS, ex.getMessage(), ex);
		}
		return Integer.parseInt(matcher.group(1));
	}

	private static Config parserConfig() {
		Config config = new Config();
		config.setEscape(false);
		config.setEscapeNewline(false);
		config.setInclude(false);
		config.setEmptyOption(true);
		config.setEmptySection(true);
		config.setUnnamedSection(true);
		config.setGlobalSection(true);
		config.setGlobalSectionName("");
		config.setLowerCaseOption(false);
		config.setLowerCaseSection(false);
		return config;
	}

	private static IniDocument rejectWhole(SettingsFault fault) {
		return new IniDocument(List.of(), List.of(fault));
	}

	private static CodedException toException(SettingsFault fault) {
		return new CodedException(ErrorCode.INVALID_SETTINGS, fault.toString());
	}

	private static SettingsFault sizeFault(String fileName, String found) {
		return new SettingsFault(fileName, "", "", found, "at most " + MAX_BYTES + " bytes and " + MAX_LINES + " lines",
				"remove sections that are not in use");
	}

	private static SettingsFault encodingFault(String fileName) {
		return new SettingsFault(fileName, "", "", "bytes that are not UTF-8", "UTF-8 text",
				"save the file in UTF-8 encoding");
	}

}
