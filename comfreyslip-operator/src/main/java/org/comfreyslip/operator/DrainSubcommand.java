package org.comfreyslip.operator;

import java.util.List;
import java.util.Map;

/**
 * Starts the graceful shutdown of one daemon.
 */
final class DrainSubcommand implements Subcommand {

	@Override
	public String name() {
		return "drain";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "start the graceful shutdown of one daemon";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.COMMAND;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		invocation.arguments(0);
		List<DaemonApi> daemons = invocation.requiredDaemons();
		if (daemons.size() > 1) {
			// Several daemons at once could leave no entry host for the callers.
			throw new UsageException("drain takes one --daemon; drain the next one after the first has ended");
		}
		daemons.get(0).drain();
		String address = daemons.get(0).address();
		invocation.result(Map.of("draining", address), List.of("daemon " + address + " is draining"));
		return ExitCode.OK;
	}

}
