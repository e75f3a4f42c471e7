package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.settings.DependencyGraph;
import org.comfreyslip.settings.DependencyNode;
import org.comfreyslip.settings.OperatorText;

/**
 * Lists what needs a service and, given daemons to ask, why the service is down.
 */
final class ImpactSubcommand implements Subcommand {

	@Override
	public String name() {
		return "impact";
	}

	@Override
	public String arguments() {
		return "SERVICE";
	}

	@Override
	public String summary() {
		return "list what depends on a service and the root cause if it is down";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String service = invocation.arguments(1).get(0);
		ConfigHistory history = invocation.log().read(-1);
		if (history.number() == 0) {
			throw new CodedException(ErrorCode.NOT_FOUND, "no configuration was accepted yet");
		}
		DependencyGraph graph = new DependencyGraph(OperatorText.parse("version " + history.number(), history.text()));
		List<String> dependents = graph.dependentsOf(service).stream().map(DependencyNode::toString).toList();
		List<String> causes = graph.rootCauses(DependencyNode.service(service), down(invocation.daemons()));
		List<String> lines = new ArrayList<>();
		dependents.forEach((dependent) -> lines.add(dependent + " depends on it"));
		if (dependents.isEmpty()) {
			lines.add("nothing depends on " + service);
		}
		causes.forEach((cause) -> lines.add("root cause: service " + cause + " is down"));
		invocation.result(new Result(service, dependents, causes), lines);
		return ExitCode.OK;
	}

	private static Set<String> down(List<DaemonApi> daemons) {
		Set<String> down = new TreeSet<>();
		daemons.forEach((daemon) -> down.addAll(daemon.status().downServices()));
		return down;
	}

	record Result(String service, List<String> dependents, List<String> rootCauses) {
	}

}
