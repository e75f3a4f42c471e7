package org.comfreyslip.load.slopes;

import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;

/**
 * The parts that are measured, each at the size of today, in between and of the target.
 */
public enum SlopeProbe {

	/** One planning decision, per engine. */
	PLAN("engine", List.of(40, 200, 910), ConfigSlopes.Plan::of),

	/**
	 * Routing tables with the parsed configuration, per engine and its three accounts.
	 */
	ROUTING_TABLES("engine", List.of(40, 200, 910), ConfigSlopes.Tables::of),

	/** Parsing of the operators' text, per engine and its three accounts. */
	CONFIG_PARSE("engine", List.of(40, 200, 910), ConfigSlopes.Parse::of),

	/** Folding of a proposal with the whole text, per engine and its three accounts. */
	CONFIG_FOLD("engine", List.of(40, 200, 910), ConfigSlopes.Fold::of),

	/** Difference of one changed account, per engine and its three accounts. */
	CONFIG_DELTA("engine", List.of(40, 200, 910), ConfigSlopes.Delta::of),

	/** One second of gossip, per member. */
	MEMBER_TABLE("member", List.of(8, 56, 390), MemberSlope::of),

	/** Claim and outcome of one call, per key kept. */
	CLAIM_FOLD("key", List.of(1_000, 10_000, 50_000), ClaimSlope::of),

	/** One peer's report of all accounts, per account. */
	ACCOUNT_SHARES("account", List.of(10, 300, 2_700), AccountSlope::of),

	/** Match of a prompt, per entry. */
	PREFIX_INDEX("entry", List.of(1_000, 10_000, 100_000), PrefixSlope::of);

	private final String unit;

	private final List<Integer> sizes;

	private final IntFunction<SlopeSubject> factory;

	SlopeProbe(String unit, List<Integer> sizes, IntFunction<SlopeSubject> factory) {
		this.unit = unit;
		this.sizes = sizes;
		this.factory = factory;
	}

	/**
	 * Returns the name on the command line.
	 * @return lower case with hyphens
	 */
	public String key() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns what the size counts.
	 * @return the unit
	 */
	public String unit() {
		return this.unit;
	}

	/**
	 * Returns the sizes.
	 * @return the sizes in rising order
	 */
	public List<Integer> sizes() {
		return this.sizes;
	}

	SlopeSubject create(int size) {
		return this.factory.apply(size);
	}

}
