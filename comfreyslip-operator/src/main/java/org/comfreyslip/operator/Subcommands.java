package org.comfreyslip.operator;

import java.util.List;
import java.util.Optional;

/**
 * All subcommands, in the order of the help text.
 */
final class Subcommands {

	static final List<Subcommand> ALL = List.of(new ProposeSubcommand(), new DrainSubcommand(), new CheckSubcommand(),
			new ValidateSubcommand(), new DiffSubcommand(), new WaitSubcommand(), new ShowSubcommand(),
			new HistorySubcommand(), new StatusSubcommand(), new ExplainSubcommand(), new ImpactSubcommand(),
			new HashCredentialSubcommand(), new CompletionSubcommand());

	private Subcommands() {
	}

	static Optional<Subcommand> find(String name) {
		return ALL.stream().filter((subcommand) -> subcommand.name().equals(name)).findFirst();
	}

}
