package org.comfreyslip.operator;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.comfreyslip.coordination.digest.Sha256;

/**
 * Computes the digest of a key. The key is read from the standard input, because
 * arguments are visible to other users of the host.
 */
final class HashCredentialSubcommand implements Subcommand {

	/** Longest key, in bytes. */
	private static final int MAX_KEY_BYTES = 4_096;

	@Override
	public String name() {
		return "hash-credential";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "print the SHA-256 of a key read from the standard input";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		invocation.arguments(0);
		byte[] input = invocation.console().readInput(MAX_KEY_BYTES);
		String key = new String(input, StandardCharsets.UTF_8).strip();
		if (key.isEmpty() || input.length > MAX_KEY_BYTES || key.chars().anyMatch(Character::isWhitespace)) {
			throw new UsageException(
					"give one key without blanks, of at most " + MAX_KEY_BYTES + " bytes, on the standard input");
		}
		invocation.result(Map.of("sha256", Sha256.ofText(key)), List.of(Sha256.ofText(key)));
		return ExitCode.OK;
	}

}
