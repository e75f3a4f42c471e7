package org.comfreyslip.settings;

import java.util.List;

/**
 * Sections, keys, allowed values and defaults of the operators' configuration text.
 */
final class OperatorTextSchema {

	/** Value of the key {@code format} that this version reads. */
	static final int FORMAT = 1;

	/**
	 * Default of {@code timeout-ms}, the time limit of one call of a service, in
	 * milliseconds.
	 */
	static final int DEFAULT_TIMEOUT_MILLIS = 30_000;

	/** Default of the key {@code weight} of an account, in shares. */
	static final int DEFAULT_WEIGHT = 1;

	/** Default of the key {@code priority} of an account. */
	static final String DEFAULT_PRIORITY = "normal";

	private static final int MAX_LAYERS = 10_000;

	private static final int MAX_LAYER_MICROS = 10_000_000;

	private static final int MAX_TIMEOUT_MILLIS = 3_600_000;

	private static final int MAX_CONCURRENT = 1_000_000;

	private static final int MAX_WEIGHT = 1_000;

	private static final int MAX_BANDWIDTH_MBIT = 10_000_000;

	private static final int MAX_LATENCY_MICROS = 10_000_000;

	static final SectionRule HEADER = new SectionRule("comfreyslip", 0, true,
			List.of(KeyRule.required("format", ValueRules.oneOf(String.valueOf(FORMAT)))));

	static final SectionRule MODEL = new SectionRule("model", 1, false,
			List.of(KeyRule.required("layers", ValueRules.integer(1, MAX_LAYERS, "layers")),
					KeyRule.required("version", ValueRules.name()),
					KeyRule.optional("adapters", ValueRules.names("adapters"), "none"),
					KeyRule.optional("depends", ValueRules.names("services"), "none")));

	static final SectionRule KIND = new SectionRule("kind", 1, false,
			List.of(KeyRule.required("layer-micros", ValueRules.integer(1, MAX_LAYER_MICROS, "microseconds"))));

	static final SectionRule ENGINE = new SectionRule("engine", 1, false,
			List.of(KeyRule.required("address", ValueRules.address()),
					KeyRule.required("data-centre", ValueRules.name()), KeyRule.required("kind", ValueRules.name()),
					KeyRule.required("model", ValueRules.name()), KeyRule.required("layers", ValueRules.layerRange()),
					KeyRule.required("fencing", ValueRules.oneOf("checked", "ignored"))));

	static final SectionRule SERVICE = new SectionRule("service", 1, false,
			List.of(KeyRule.optional("protected", ValueRules.callPatterns(), "none"),
					KeyRule.optional("lookup", ValueRules.lookupPath(), "none"),
					KeyRule.optional("enforces-send-by", ValueRules.oneOf("true", "false"), "false"),
					KeyRule.optional("refusal-statuses", ValueRules.errorStatuses(), "none"),
					KeyRule.optional("depends", ValueRules.names("services"), "none"),
					KeyRule.optional("timeout-ms", ValueRules.integer(1, MAX_TIMEOUT_MILLIS, "milliseconds"),
							String.valueOf(DEFAULT_TIMEOUT_MILLIS))));

	static final SectionRule ENDPOINT = new SectionRule("endpoint", 1, false,
			List.of(KeyRule.required("service", ValueRules.name()), KeyRule.required("address", ValueRules.address()),
					KeyRule.required("data-centre", ValueRules.name())));

	static final SectionRule ACCOUNT = new SectionRule("account", 1, false, List.of(
			KeyRule.required("credential-sha256", ValueRules.digests()),
			KeyRule.required("max-concurrent", ValueRules.integer(1, MAX_CONCURRENT, "requests")),
			KeyRule.optional("priority", ValueRules.oneOf("high", "normal", "low"), DEFAULT_PRIORITY),
			KeyRule.optional("weight", ValueRules.integer(1, MAX_WEIGHT, "shares"), String.valueOf(DEFAULT_WEIGHT))));

	static final SectionRule OPERATOR = new SectionRule("operator", 1, false,
			List.of(KeyRule.required("credential-sha256", ValueRules.digests())));

	static final SectionRule LINK = new SectionRule("link", 2, false,
			List.of(KeyRule.required("bandwidth-mbit",
					ValueRules.integer(1, MAX_BANDWIDTH_MBIT, "megabits per second")),
					KeyRule.required("latency-micros", ValueRules.integer(0, MAX_LATENCY_MICROS, "microseconds"))));

	static final List<SectionRule> SECTIONS = List.of(HEADER, MODEL, KIND, ENGINE, SERVICE, ENDPOINT, ACCOUNT, OPERATOR,
			LINK);

	private OperatorTextSchema() {
	}

}
