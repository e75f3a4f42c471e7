package org.comfreyslip.standins;

import java.util.function.BiFunction;
import java.util.function.Supplier;

import org.apache.commons.cli.Options;
import org.comfreyslip.standins.engine.EngineSettings;
import org.comfreyslip.standins.engine.EngineStandin;
import org.comfreyslip.standins.hosts.HostListStandin;
import org.comfreyslip.standins.log.LogStandin;
import org.comfreyslip.standins.service.ServiceStandin;
import org.comfreyslip.standins.weights.WeightStoreStandin;

/**
 * Kind of a stand-in.
 */
public enum StandinKind {

	/** Model engine. */
	ENGINE(EngineSettings::options, EngineStandin::new),

	/** Append-only log. */
	LOG(LogStandin::options, LogStandin::new),

	/** Host list. */
	HOSTS(HostListStandin::options, HostListStandin::new),

	/** Weight store. */
	WEIGHTS(WeightStoreStandin::options, WeightStoreStandin::new),

	/** Archive or registry service. */
	SERVICE(ServiceStandin::options, ServiceStandin::new);

	/** Address that the server listens at when the option is absent. */
	static final String DEFAULT_LISTEN = "127.0.0.1:0";

	private final Supplier<Options> options;

	private final BiFunction<StandinArguments, StandinRuntime, Standin> factory;

	StandinKind(Supplier<Options> options, BiFunction<StandinArguments, StandinRuntime, Standin> factory) {
		this.options = options;
		this.factory = factory;
	}

	/**
	 * Returns the options of the kind, with those of all kinds.
	 * @return the options
	 */
	public Options options() {
		return this.options.get()
			.addOption(StandinArguments.option("listen", "ip:port", "address; port 0 picks a free one"))
			.addOption(StandinArguments.option("workers", "count", "worker threads, default 4"))
			.addOption(StandinArguments.option("io-threads", "count", "event loop threads, default 2"))
			.addOption(StandinArguments.option("seed", "number", "seed of the draws for faults, default 1"));
	}

	Standin create(StandinArguments arguments, StandinRuntime runtime) {
		return this.factory.apply(arguments, runtime);
	}

}
