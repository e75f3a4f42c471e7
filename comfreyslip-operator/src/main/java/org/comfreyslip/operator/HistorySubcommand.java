package org.comfreyslip.operator;

import java.util.List;

/**
 * Lists the proposals that the log holds.
 */
final class HistorySubcommand implements Subcommand {

	@Override
	public String name() {
		return "history";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "list accepted and refused proposals";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		invocation.arguments(0);
		List<ProposalDecision> decisions = invocation.log().read(-1).decisions();
		invocation.result(decisions, decisions.stream().map(HistorySubcommand::line).toList());
		return ExitCode.OK;
	}

	private static String line(ProposalDecision decision) {
		String outcome = decision.accepted() ? "accepted as version " + decision.number() : "refused, version "
				+ decision.number() + " was in force" + (decision.skipped() ? ", the record is inconsistent" : "");
		return "offset " + decision.offset() + "  " + outcome + "  by " + decision.author() + "  id " + decision.id();
	}

}
