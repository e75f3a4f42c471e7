package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreyslip.coordination.CodedException;

/**
 * Prints the state of the given daemons.
 */
final class StatusSubcommand implements Subcommand {

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "print the state of the given daemons";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		invocation.arguments(0);
		ExitCode exitCode = ExitCode.OK;
		Map<String, Object> documents = new LinkedHashMap<>();
		List<String> lines = new ArrayList<>();
		for (DaemonApi daemon : invocation.requiredDaemons()) {
			try {
				DaemonStatus status = daemon.status();
				documents.put(daemon.address(), status.document());
				lines.add(line(daemon.address(), status));
			}
			catch (CodedException ex) {
				documents.put(daemon.address(), Map.of("error", ex.getMessage()));
				lines.add(daemon.address() + "  " + ex.getMessage());
				exitCode = ExitCode.of(ex.code());
			}
		}
		invocation.result(documents, lines);
		return exitCode;
	}

	private static String line(String address, DaemonStatus status) {
		return address + "  " + status.name() + "  " + status.state() + "  " + (status.ready() ? "ready" : "not ready")
				+ "  version " + status.configNumber()
				+ (status.downServices().isEmpty() ? "" : "  down: " + String.join(", ", status.downServices()));
	}

}
