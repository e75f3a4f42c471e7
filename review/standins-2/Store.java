import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in for the store of the platform: a log with topics of one partition. */
final class Store implements AutoCloseable {

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "store");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpServer server;

	private int generation = 1;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
		this.server.setExecutor(this.threads);
		this.server.createContext("/api/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/** Appends a record of a keyed topic; an empty value removes the key. */
	synchronized int put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
		content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
		return append(topic, content.array());
	}

	private synchronized int append(String topic, byte[] content) {
		List<byte[]> records = this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
		records.add(content);
		notifyAll();
		return records.size() - 1;
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] request = exchange.getRequestBody().readAllBytes();
			Map<String, String> query = parse(exchange.getRequestURI().getQuery());
			String topic = query.getOrDefault("Topic", "");
			switch (exchange.getRequestURI().getPath()) {
				case "/api/log-newest" -> respond(exchange, 200, newest(topic));
				case "/api/log-read" -> read(exchange, topic, Integer.parseInt(query.get("From")),
						Long.parseLong(query.getOrDefault("WaitMs", "0")));
				case "/api/log-append" -> append(exchange, topic, query.get("At"), request);
				case "/api/log-join" -> respond(exchange, 200, text("{\"Generation\":" + this.generation
						+ ",\"TtlMs\":3000,\"parts\":[]}"));
				default -> respond(exchange, 200, text("{}"));
			}
		}
	}

	private static Map<String, String> parse(String query) {
		Map<String, String> fields = new HashMap<>();
		for (String pair : (query != null) ? query.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			fields.put(pair.substring(0, equals), pair.substring(equals + 1));
		}
		return fields;
	}

	private void append(HttpExchange exchange, String topic, String at, byte[] body) throws IOException {
		int status = 200;
		String answer;
		synchronized (this) {
			int end = this.topics.getOrDefault(topic, List.of()).size();
			if (at != null && Long.parseLong(at) != end) {
				status = 412;
				answer = "{\"EndOffset\":" + end + "}";
			}
			else {
				ByteBuffer records = ByteBuffer.wrap(body);
				while (records.remaining() >= Integer.BYTES) {
					byte[] content = new byte[records.getInt()];
					records.get(content);
					append(topic, content);
				}
				answer = "{\"Offset\":" + end + ",\"EndOffset\":" + this.topics.get(topic).size() + "}";
			}
		}
		respond(exchange, status, text(answer));
	}

	private synchronized byte[] newest(String topic) {
		Map<String, String> entries = new TreeMap<>();
		List<byte[]> records = this.topics.getOrDefault(topic, List.of());
		for (int offset = 0; offset < records.size(); offset++) {
			byte[] content = records.get(offset);
			int keyLength = Byte.toUnsignedInt(content[0]);
			String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
			byte[] value = java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length);
			if (value.length == 0) {
				entries.remove(key);
			}
			else {
				entries.put(key, "{\"Key\":\"" + key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"Offset\":" + offset + "}");
			}
		}
		return text("{\"Entries\":[" + String.join(",", entries.values()) + "],\"MorePages\":false,\"EndOffset\":"
				+ records.size() + "}");
	}

	private void read(HttpExchange exchange, String topic, int from, long waitMs) throws IOException {
		byte[] body;
		synchronized (this) {
			long end = System.nanoTime() + waitMs * 1_000_000;
			while (this.topics.getOrDefault(topic, List.of()).size() <= from && System.nanoTime() < end) {
				try {
					wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					return;
				}
			}
			List<byte[]> records = this.topics.getOrDefault(topic, List.of());
			body = (from > records.size()) ? null : encode(records, from);
		}
		respond(exchange, (body == null) ? 410 : 200, (body == null) ? text("{\"FirstOffset\":0}") : body);
	}

	private static byte[] encode(List<byte[]> records, int from) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(records.size());
		out.writeLong(0);
		for (byte[] content : records.subList(from, records.size())) {
			out.writeInt(content.length);
			out.write(content);
		}
		return bytes.toByteArray();
	}

	private static byte[] text(String value) {
		return value.getBytes(StandardCharsets.UTF_8);
	}

	private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.getResponseHeaders().set("Store-Era", "1");
		exchange.sendResponseHeaders(status, body.length);
		exchange.getResponseBody().write(body);
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

}
