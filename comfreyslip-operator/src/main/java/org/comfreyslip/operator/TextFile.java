package org.comfreyslip.operator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

import org.comfreyslip.settings.IniDocument;

/**
 * Reads the text that a subcommand names.
 */
final class TextFile {

	/** The name that stands for the standard input. */
	private static final String STANDARD_INPUT = "-";

	private TextFile() {
	}

	/**
	 * Reads a file.
	 * @param name the file's name, or {@code -} for the standard input
	 * @param console the standard input
	 * @return the text
	 */
	static String read(String name, Console console) {
		if (name.equals(STANDARD_INPUT)) {
			return IniDocument.decode(name, console.readInput(IniDocument.MAX_BYTES));
		}
		try (InputStream content = Files.newInputStream(Path.of(name))) {
			return IniDocument.decode(name, content.readNBytes(IniDocument.MAX_BYTES + 1));
		}
		catch (IOException | InvalidPathException ex) {
			throw new UsageException("cannot read " + name + ": " + ex);
		}
	}

}
