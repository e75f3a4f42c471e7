package org.comfreyslip.operator;

import java.util.List;
import java.util.UUID;
import java.util.regex.Pattern;

import org.apache.commons.cli.Options;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.settings.OperatorText;

/**
 * Proposes a text on condition that its base version is in force.
 */
final class ProposeSubcommand implements Subcommand {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,63}");

	private static final String BASE = "base";

	private static final String AUTHOR = "author";

	private static final String ID = "id";

	@Override
	public String name() {
		return "propose";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "propose a text in place of the base version";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.COMMAND;
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(CommonOptions.withValue(BASE, "VERSION",
					"number of the version that FILE was made from; 0 for the first text"))
			.addOption(CommonOptions.withValue(AUTHOR, "NAME", "the operator's name; default: the system's user name"))
			.addOption(CommonOptions.withValue(ID, "ID",
					"id of an earlier proposal with unknown outcome, which is settled instead of proposed twice"));
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String file = invocation.arguments(1).get(0);
		long base = invocation.number(BASE)
			.orElseThrow(() -> new UsageException("state the version that the file was made from with --base VERSION"));
		String text = TextFile.read(file, invocation.console());
		OperatorText.parse(file, text);
		new FormatSupport(invocation).check(invocation.daemons());
		String id = invocation.option(ID).orElseGet(() -> UUID.randomUUID().toString());
		String author = author(invocation);
		return propose(invocation, base, new ProposalEntry(id, base, "", author, text, Sha256.hex(text)));
	}

	private static String author(Invocation invocation) {
		String author = invocation.option(AUTHOR).orElseGet(() -> System.getProperty("user.name", ""));
		if (!NAME.matcher(author).matches()) {
			throw new UsageException("--" + AUTHOR + ": found " + author
					+ "; allowed: 1 to 63 letters, digits, '.', '_' or '-' (ASCII)");
		}
		return author;
	}

	private ExitCode propose(Invocation invocation, long base, ProposalEntry draft) {
		ConfigStream stream = invocation.log();
		ConfigHistoryReader reader = new ConfigHistoryReader(stream);
		ConfigHistory history = reader.read(-1);
		if (history.findDecision(draft.id()).isPresent()) {
			return report(invocation, draft.id(), base, history);
		}
		if (history.number() != base) {
			return refused(invocation, draft.id(), base, history);
		}
		ProposalEntry proposal = new ProposalEntry(draft.id(), base, history.digest(), draft.author(), draft.text(),
				draft.digest());
		try {
			stream.append(ConfigEntryCodec.encode(proposal));
		}
		catch (CodedException ex) {
			if (ex.code() != ErrorCode.OUTCOME_UNKNOWN) {
				throw ex;
			}
			invocation.console().note("unknown whether the log took the proposal; reading the log: " + ex.getMessage());
		}
		new ProposalSettler(reader, invocation.ticker()).settle(draft.id(), base, history);
		return report(invocation, draft.id(), base, history);
	}

	private static ExitCode report(Invocation invocation, String id, long base, ConfigHistory history) {
		ProposalDecision decision = history.findDecision(id).orElseThrow();
		if (!decision.accepted()) {
			return refused(invocation, id, base, history);
		}
		invocation.result(new Result("accepted", id, decision.offset(), decision.number(), ""),
				List.of("accepted at offset " + decision.offset() + " as version " + decision.number()));
		return ExitCode.OK;
	}

	private static ExitCode refused(Invocation invocation, String id, long base, ConfigHistory history) {
		String winner = history.findVersion(base + 1)
			.map((decision) -> "version " + decision.number() + " by " + decision.author() + " at offset "
					+ decision.offset())
			.orElse("version " + history.number() + " at offset " + history.offset());
		invocation.result(new Result("refused", id, history.offset(), history.number(), winner),
				List.of("refused; won by " + winner + "; in force is version " + history.number()
						+ "; apply the change to it and propose again with --base " + history.number()));
		return ExitCode.REFUSED;
	}

	record Result(String outcome, String id, long offset, long number, String winner) {
	}

}
