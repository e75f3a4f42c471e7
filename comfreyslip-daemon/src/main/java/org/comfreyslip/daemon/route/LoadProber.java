package org.comfreyslip.daemon.route;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.engine.EngineLoad;
import org.comfreyslip.clients.hosts.HostEntry;
import org.comfreyslip.clients.hosts.HostListClient;
import org.comfreyslip.clients.hosts.HostState;
import org.comfreyslip.routing.endpoint.EndpointCall;
import org.comfreyslip.routing.endpoint.EndpointFailure;
import org.comfreyslip.routing.topology.EngineSpec;

/**
 * Reads the load of engines and the host list once a second, and probes ejected
 * endpoints.
 */
public final class LoadProber {

	private static final long INTERVAL_MILLIS = 1_000;

	private static final int PROBE_TIMEOUT_MILLIS = 900;

	private final RoutingTables tables;

	private final EngineClients engines;

	private final HttpTransport http;

	private final HostListClient hosts;

	private final Predicate<EngineSpec> isProber;

	private final ScheduledExecutorService timer;

	private final LongSupplier clock;

	/**
	 * Creates a prober.
	 * @param tables the routing tables that receive the results
	 * @param engines the engine clients
	 * @param http the HTTP client for probes of plain endpoints
	 * @param hosts the client of the host list
	 * @param isProber whether this daemon is selected to probe an engine
	 * @param timer runs the periodic task
	 * @param clock the monotonic clock, in ns
	 */
	public LoadProber(RoutingTables tables, EngineClients engines, HttpTransport http, HostListClient hosts,
			Predicate<EngineSpec> isProber, ScheduledExecutorService timer, LongSupplier clock) {
		this.tables = tables;
		this.engines = engines;
		this.http = http;
		this.hosts = hosts;
		this.isProber = isProber;
		this.timer = timer;
		this.clock = clock;
	}

	/**
	 * Starts the periodic task.
	 */
	public void start() {
		this.timer.scheduleWithFixedDelay(this::probeAll, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void probeAll() {
		this.tables.engines().forEach(this::probeEngine);
		this.tables.plainEndpoints().forEach((endpoint) -> probeEndpoint(endpoint.name(), endpoint.address()));
		this.hosts.hosts().thenAccept((list) -> this.tables.onHostList(leavingAddresses(list.hosts()), now()));
	}

	private void probeEngine(EngineSpec engine) {
		String name = engine.name();
		Optional<EndpointCall> probe = this.tables.startProbe(name, now());
		// This daemon ends an ejection of its own only by its own probe.
		if (probe.isEmpty() && !this.isProber.test(engine)) {
			return;
		}
		this.engines.client(name).ifPresent((client) -> client.load().whenComplete((load, ex) -> {
			if (ex == null) {
				onLoadProbeSuccess(name, probe, load);
			}
			else {
				onLoadProbeFailure(name, probe, ex);
			}
		}));
	}

	private void onLoadProbeSuccess(String name, Optional<EndpointCall> probe, EngineLoad load) {
		probe.ifPresent((call) -> this.tables.recordSuccess(call, now(), call.entry().health().timing().meanNanos(0)));
		this.tables.onLoadReport(name, load, now());
	}

	private void onLoadProbeFailure(String name, Optional<EndpointCall> probe, Throwable ex) {
		EndpointFailure failure = (ex instanceof CallFailedException failed && failed.mayHaveBeenSent())
				? EndpointFailure.TIMEOUT : EndpointFailure.REFUSED;
		if (probe.isPresent()) {
			this.tables.recordFailure(probe.get(), failure, now());
		}
		else {
			this.tables.onLoadProbeFailure(name, failure, now());
		}
	}

	private void probeEndpoint(String name, String address) {
		this.tables.startProbe(name, now()).ifPresent((call) -> {
			HttpCall get = HttpCall.get(address, "/health").within(PROBE_TIMEOUT_MILLIS);
			this.http.send(get).whenComplete((reply, ex) -> {
				if (ex == null) {
					this.tables.recordSuccess(call, now(), call.entry().health().timing().meanNanos(0));
				}
				else {
					this.tables.recordFailure(call, EndpointFailure.TIMEOUT, now());
				}
			});
		});
	}

	private static Set<String> leavingAddresses(java.util.List<HostEntry> hosts) {
		return hosts.stream()
			.filter((host) -> host.state() == HostState.LEAVING)
			.map(HostEntry::address)
			.collect(Collectors.toSet());
	}

	private long now() {
		return this.clock.getAsLong();
	}

}
