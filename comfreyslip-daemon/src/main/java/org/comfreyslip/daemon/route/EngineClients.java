package org.comfreyslip.daemon.route;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.routing.topology.EngineSpec;

/**
 * Creates and keeps one client for each engine address. Thread-safe.
 */
public final class EngineClients {

	private static final int TIMEOUT_MILLIS = 2_000;

	private final HttpTransport http;

	private final RoutingTables tables;

	private final Map<String, EngineClient> byAddress = new ConcurrentHashMap<>();

	/**
	 * Creates a registry without clients.
	 * @param http the shared HTTP client
	 * @param tables the routing tables, which resolve the names of engines
	 */
	public EngineClients(HttpTransport http, RoutingTables tables) {
		this.http = http;
		this.tables = tables;
	}

	/**
	 * Returns the client of an engine.
	 * @param engine the engine's name
	 * @return the client, or empty if the configuration in force has no such engine
	 */
	public Optional<EngineClient> client(String engine) {
		return this.tables.findEngine(engine).map(this::client);
	}

	private EngineClient client(EngineSpec engine) {
		return this.byAddress.computeIfAbsent(engine.address(),
				(address) -> new EngineClient(this.http, address, TIMEOUT_MILLIS));
	}

	/**
	 * Closes idle connections to an engine, because they may no longer respond.
	 * @param engine the engine's name
	 */
	public void evictIdle(String engine) {
		this.tables.findEngine(engine).ifPresent((spec) -> this.http.evictIdle(spec.address()));
	}

}
