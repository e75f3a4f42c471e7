package org.comfreyslip.standins.hosts;

import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.Options;
import org.comfreyslip.clients.hosts.HostEntry;
import org.comfreyslip.clients.hosts.HostList;
import org.comfreyslip.clients.hosts.HostState;
import org.comfreyslip.standins.Standin;
import org.comfreyslip.standins.StandinArguments;
import org.comfreyslip.standins.StandinReply;
import org.comfreyslip.standins.StandinRequest;
import org.comfreyslip.standins.StandinRoutes;
import org.comfreyslip.standins.StandinRuntime;

/**
 * Host list that shows a change after a lag.
 */
public final class HostListStandin implements Standin {

	private static final int DEFAULT_LAG_MILLIS = 1_000;

	private final StandinRuntime runtime;

	private final int lagMillis;

	private volatile HostList shown;

	/**
	 * Creates a list.
	 * @param arguments the options
	 * @param runtime what the server offers
	 */
	public HostListStandin(StandinArguments arguments, StandinRuntime runtime) {
		this.runtime = runtime;
		this.lagMillis = arguments.number("lag-millis", DEFAULT_LAG_MILLIS);
		this.shown = parse(arguments.text("hosts", ""));
	}

	/**
	 * Returns the options.
	 * @return the options
	 */
	public static Options options() {
		return new Options()
			.addOption(StandinArguments.option("hosts", "list", "live hosts at the start, ip:port separated by commas"))
			.addOption(StandinArguments.option("lag-millis", "millis", "time until a change is shown, default 1000"));
	}

	@Override
	public void register(StandinRoutes routes) {
		routes.add("GET", "/hosts", (request) -> StandinReply.json(this.shown).now());
		routes.add("PUT", "/hosts", (request) -> change(request).now());
	}

	private StandinReply change(StandinRequest request) {
		HostList next = request.json(HostList.class);
		this.runtime.delay(this.lagMillis).thenRun(() -> this.shown = next);
		return StandinReply.json(next);
	}

	private static HostList parse(String text) {
		List<HostEntry> hosts = Arrays.stream(text.split(","))
			.filter((address) -> !address.isBlank())
			.map((address) -> new HostEntry(address.trim(), HostState.LIVE))
			.toList();
		return new HostList(hosts);
	}

}
