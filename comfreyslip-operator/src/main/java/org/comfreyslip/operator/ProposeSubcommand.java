package org.comfreyslip.operator;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;

import org.apache.commons.cli.Options;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;
import org.comfreyslip.coordination.config.ConfigVersion;
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
					"version that FILE was made from, as NUMBER or NUMBER:DIGEST-PREFIX; 0 for the first text"))
			.addOption(CommonOptions.withValue(AUTHOR, "NAME", "the operator's name; default: the system's user name"))
			.addOption(CommonOptions.withValue(ID, "ID",
					"id of an earlier proposal with unknown outcome, which is settled instead of proposed twice"));
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String file = invocation.arguments(1).get(0);
		BaseVersion base = invocation.option(BASE)
			.map((value) -> BaseVersion.parse(BASE, value))
			.orElseThrow(() -> new UsageException("state the version that the file was made from with --base VERSION"));
		String text = TextFile.read(file, invocation.console());
		OperatorText.parse(file, text);
		String author = author(invocation);
		new FormatSupport(invocation).check(invocation.daemons());
		return propose(invocation, base, author, text);
	}

	private static String author(Invocation invocation) {
		String author = invocation.option(AUTHOR).orElseGet(() -> System.getProperty("user.name", ""));
		if (!NAME.matcher(author).matches()) {
			throw new UsageException("--" + AUTHOR + ": found " + author
					+ "; allowed: 1 to 63 letters, digits, '.', '_' or '-' (ASCII)");
		}
		return author;
	}

	private ExitCode propose(Invocation invocation, BaseVersion base, String author, String text) {
		ConfigHistoryReader reader = invocation.log();
		ConfigHistory history = reader.read(-1);
		Optional<String> earlier = invocation.option(ID);
		if (earlier.flatMap(history::findDecision).isPresent()) {
			return report(invocation, earlier.get(), base, history);
		}
		base.requireDigest(history.version());
		if (history.number() != base.number()) {
			return refused(invocation, earlier.orElse(""), base, history);
		}
		Proposal proposal = proposal(earlier, history.version(), author, text);
		new ProposalSettler(reader, invocation, earlier.isPresent()).settle(proposal, history);
		return report(invocation, proposal.id(), base, history);
	}

	private static Proposal proposal(Optional<String> earlier, ConfigVersion base, String author, String text) {
		String nonce = earlier.map((id) -> id.replaceFirst("-.*", ""))
			.orElseGet(() -> UUID.randomUUID().toString().replace("-", ""));
		Proposal proposal = Proposal.create(nonce, base, author, text);
		if (earlier.isPresent() && !proposal.id().equals(earlier.get())) {
			throw new UsageException("--" + ID + ": " + earlier.get()
					+ " is the id of another proposal; give the same file, base and author as before");
		}
		return proposal;
	}

	private static ExitCode report(Invocation invocation, String id, BaseVersion base, ConfigHistory history) {
		Optional<ProposalDecision> found = history.findDecision(id);
		if (found.isEmpty() || !found.get().accepted()) {
			return refused(invocation, id, base, history);
		}
		ProposalDecision decision = found.get();
		invocation.result(new Result("accepted", id, decision.offset(), decision.number(), ""),
				List.of("accepted at offset " + decision.offset() + " as version " + decision.number()));
		return ExitCode.OK;
	}

	private static ExitCode refused(Invocation invocation, String id, BaseVersion base, ConfigHistory history) {
		String winner = history.findVersion(base.number() + 1)
			.map((decision) -> "version " + decision.number() + " by " + decision.author() + " at offset "
					+ decision.offset())
			.orElse("version " + history.number() + " at offset " + history.version().offset());
		invocation.result(new Result("refused", id, history.version().offset(), history.number(), winner),
				List.of("refused; won by " + winner + "; in force is version " + history.number()
						+ "; apply the change to it and propose again with --base "
						+ BaseVersion.print(history.version())));
		return ExitCode.REFUSED;
	}

	record Result(String outcome, String id, long offset, long number, String winner) {
	}

}
