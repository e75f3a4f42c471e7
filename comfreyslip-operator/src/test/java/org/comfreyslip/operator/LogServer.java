package org.comfreyslip.operator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.clients.log.AppendRequest;

/**
 * Log service in memory with failures that a test switches on.
 */
class LogServer implements AutoCloseable {

	static {
		// Without this the server's two writes for one response wait for a delayed
		// acknowledgement.
		System.setProperty("sun.net.httpserver.nodelay", "true");
	}

	private final HttpServer server;

	private final List<byte[]> records = new ArrayList<>();

	private long head;

	private final Set<String> bodies = new HashSet<>();

	private int appends;

	private int appendStatus = 200;

	private boolean dropResponse;

	private boolean dropRecord;

	private byte[] recordBeforeNext;

	LogServer() {
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.createContext("/streams/config/records", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	synchronized long append(byte[] data) {
		this.records.add(data);
		return this.records.size() - 1;
	}

	synchronized void trim(long newHead) {
		this.head = newHead;
	}

	synchronized void refuseAppends(int status) {
		this.appendStatus = status;
	}

	/** Takes appends without a response. */
	synchronized void loseResponses() {
		this.dropResponse = true;
	}

	/** Neither takes appends nor responds to them. */
	synchronized void loseRequests() {
		this.dropResponse = true;
		this.dropRecord = true;
	}

	synchronized void recover() {
		this.dropResponse = false;
		this.dropRecord = false;
	}

	synchronized void insertBeforeNextAppend(byte[] data) {
		this.recordBeforeNext = data;
	}

	synchronized int appends() {
		return this.appends;
	}

	synchronized int distinctAppends() {
		return this.bodies.size();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private synchronized void handle(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		if (exchange.getRequestMethod().equals("POST")) {
			handleAppend(exchange, body);
		}
		else {
			respond(exchange, 200, page(exchange.getRequestURI().getQuery()));
		}
	}

	private void handleAppend(HttpExchange exchange, byte[] request) throws IOException {
		this.appends++;
		byte[] body = JsonCodec.read(request, AppendRequest.class).data();
		this.bodies.add(new String(body, StandardCharsets.UTF_8));
		if (this.appendStatus != 200) {
			respond(exchange, this.appendStatus, "{}");
			return;
		}
		if (this.recordBeforeNext != null) {
			append(this.recordBeforeNext);
			this.recordBeforeNext = null;
		}
		long offset = this.dropRecord ? -1 : append(body);
		if (this.dropResponse) {
			exchange.close();
			return;
		}
		respond(exchange, 200, "{\"offset\":" + offset + "}");
	}

	private String page(String query) {
		int from = (int) Math.max(parameter(query, "from"), this.head);
		int end = (int) Math.min(this.records.size(), from + parameter(query, "max"));
		List<String> entries = new ArrayList<>();
		for (int i = from; i < end; i++) {
			entries.add("{\"offset\":" + i + ",\"data\":\"" + Base64.getEncoder().encodeToString(this.records.get(i))
					+ "\"}");
		}
		return "{\"head\":" + this.head + ",\"tail\":" + this.records.size() + ",\"records\":"
				+ entries.stream().collect(Collectors.joining(",", "[", "]")) + "}";
	}

	private static long parameter(String query, String name) {
		return Long.parseLong(query.replaceAll(".*\\b" + name + "=([0-9]+).*", "$1"));
	}

	static void respond(HttpExchange exchange, int status, String json) throws IOException {
		byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

}
