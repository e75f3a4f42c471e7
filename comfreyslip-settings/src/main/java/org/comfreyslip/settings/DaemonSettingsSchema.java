package org.comfreyslip.settings;

import java.util.List;

/**
 * Sections, keys, allowed values and defaults of a daemon's own settings.
 */
final class DaemonSettingsSchema {

	private static final int MAX_BALANCER_LAG_MILLIS = 600_000;

	/**
	 * With a shorter retention, the lease and checkpoint intervals leave no time to retry
	 * an append.
	 */
	private static final int MIN_LOG_RETENTION_MILLIS = 10_000;

	private static final int MAX_LOG_RETENTION_MILLIS = 604_800_000;

	private static final int MAX_DRAIN_DEADLINE_MILLIS = 86_400_000;

	static final SectionRule DAEMON = new SectionRule("daemon", 0, true, List.of(
			KeyRule.required("name", ValueRules.name()), KeyRule.required("data-centre", ValueRules.name()),
			KeyRule.required("region", ValueRules.name()), KeyRule.required("http-listen", ValueRules.listenAddress()),
			KeyRule.required("grpc-listen", ValueRules.listenAddress()),
			KeyRule.required("admin-listen", ValueRules.listenAddress()),
			KeyRule.optional("peers", ValueRules.addresses(), "none"),
			KeyRule.optional("balancer-lag-ms", ValueRules.integer(0, MAX_BALANCER_LAG_MILLIS, "milliseconds"),
					String.valueOf(DaemonSection.DEFAULT_BALANCER_LAG_MILLIS)),
			KeyRule.optional("drain-deadline-ms", ValueRules.integer(0, MAX_DRAIN_DEADLINE_MILLIS, "milliseconds"),
					String.valueOf(DaemonSection.DEFAULT_DRAIN_DEADLINE_MILLIS))));

	static final SectionRule PLATFORM = new SectionRule("platform", 0, true,
			List.of(KeyRule.required("log", ValueRules.address()), KeyRule.required("host-list", ValueRules.address()),
					KeyRule.required("weight-store", ValueRules.address()),
					KeyRule.optional("log-retention-ms",
							ValueRules.integer(MIN_LOG_RETENTION_MILLIS, MAX_LOG_RETENTION_MILLIS, "milliseconds"),
							String.valueOf(PlatformSection.DEFAULT_LOG_RETENTION_MILLIS))));

	static final SectionRule TLS = new SectionRule("tls", 0, false,
			List.of(KeyRule.required("certificate", ValueRules.filePath()),
					KeyRule.required("key", ValueRules.filePath()),
					KeyRule.required("authorities", ValueRules.filePath())));

	static final List<SectionRule> SECTIONS = List.of(DAEMON, PLATFORM, TLS);

	private DaemonSettingsSchema() {
	}

}
