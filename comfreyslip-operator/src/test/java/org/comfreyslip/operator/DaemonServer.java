package org.comfreyslip.operator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A daemon's address for operators, with a state that a test sets.
 */
class DaemonServer implements AutoCloseable {

	private final HttpServer server;

	private final String key;

	private volatile long version;

	private volatile int format = 1;

	private volatile String down = "";

	private volatile boolean draining;

	DaemonServer(String key) {
		this.key = key;
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.createContext("/admin", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	void setVersion(long version) {
		this.version = version;
	}

	void setFormat(int format) {
		this.format = format;
	}

	void setDown(String service) {
		this.down = "\"" + service + "\"";
	}

	boolean isDraining() {
		return this.draining;
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private void handle(HttpExchange exchange) throws IOException {
		String authorization = exchange.getRequestHeaders().getFirst("Authorization");
		if (!this.key.isEmpty() && !("Bearer " + this.key).equals(authorization)) {
			LogServer.respond(exchange, 401, "{}");
			return;
		}
		switch (exchange.getRequestMethod() + " " + exchange.getRequestURI().getRawPath()) {
			case "GET /admin/status" -> LogServer.respond(exchange, 200, status());
			case "GET /admin/explain/r%2F1" -> LogServer.respond(exchange, 200, "{\"request\":\"r/1\"}");
			case "POST /admin/drain" -> {
				this.draining = true;
				LogServer.respond(exchange, 202, "");
			}
			default -> LogServer.respond(exchange, 404, "{}");
		}
	}

	private String status() {
		return """
				{"name":"d1","state":"serving","ready":true,"config":{"number":%d,"offset":1,"digest":"x"},
				"config_format":%d,"down_services":[%s]}""".formatted(this.version, this.format, this.down);
	}

}
