package org.comfreyslip.acceptance;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.operator.ExitCode;

/**
 * Result of one run of the operators' command.
 *
 * @param exitCode the exit code
 * @param out the standard output
 * @param err the standard error
 */
public record CommandResult(ExitCode exitCode, String out, String err) {

	/**
	 * Parses the standard output of a run with {@code --json}.
	 * @return the document
	 */
	public JsonNode json() {
		return JsonCodec.read(this.out.getBytes(java.nio.charset.StandardCharsets.UTF_8), JsonNode.class);
	}

}
