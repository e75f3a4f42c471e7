package org.comfreyslip.operator;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Prints how a request was routed.
 */
final class ExplainSubcommand implements Subcommand {

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String arguments() {
		return "REQUEST";
	}

	@Override
	public String summary() {
		return "print how a request was routed";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String request = invocation.arguments(1).get(0);
		CodedException unreachable = null;
		for (DaemonApi daemon : invocation.requiredDaemons()) {
			try {
				Optional<JsonNode> found = daemon.explain(request);
				if (found.isPresent()) {
					invocation.result(found.get(), List.of(found.get().toPrettyString()));
					return ExitCode.OK;
				}
			}
			catch (CodedException ex) {
				invocation.console().note(ex.getMessage());
				unreachable = ex;
			}
		}
		if (unreachable != null) {
			throw unreachable;
		}
		throw new CodedException(ErrorCode.NOT_FOUND, "no given daemon has a record of request " + request
				+ "; name the other daemons too, or the record is no longer kept");
	}

}
