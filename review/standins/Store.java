import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for the platform's metadata store, in the form of a log. */
final class Store implements AutoCloseable {

	private static final class Topic {

		final List<byte[]> records = new ArrayList<>();

	}

	private final Map<String, Topic> topics = new TreeMap<>();

	private final List<ServerSocket> listeners = new ArrayList<>();

	/** Ports of the machines whose calls are answered 503: nothing was done. All others are served. */
	private final Set<Integer> turnedAway = ConcurrentHashMap.newKeySet();

	/** Opens a port of the store for one machine, so that its calls can be told from those of others. */
	int openPort() throws IOException {
		ServerSocket listener = new ServerSocket();
		listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		this.listeners.add(listener);
		startThread(() -> accept(listener));
		return listener.getLocalPort();
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "store");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept(ServerSocket listener) {
		while (true) {
			try {
				Socket socket = listener.accept();
				socket.setTcpNoDelay(true);
				startThread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			Head head;
			while ((head = Head.read(in)) != null) {
				byte[] body = in.readNBytes(head.contentLength());
				answer(head, body, out, socket.getLocalPort());
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has gone.
		}
	}

	private void answer(Head head, byte[] body, OutputStream out, int port)
			throws IOException, InterruptedException {
		if (this.turnedAway.contains(port)) {
			respond(out, "503 Service Unavailable", new byte[0]);
			return;
		}
		String topic = head.query("Topic");
		switch (head.path()) {
			case "/api/log-append" -> append(topic, head.query("At"), body, out);
			case "/api/log-read" -> read(topic, Integer.parseInt(head.query("From")),
					Long.parseLong(head.queryOr("WaitMs", "0")), out, port);
			case "/api/log-newest" -> newest(topic, out);
			case "/api/log-join" -> respond(out, "200 OK", "{\"Generation\":1,\"TtlMs\":3000,\"parts\":[]}");
			default -> respond(out, "200 OK", "{}");
		}
	}

	private synchronized void append(String name, String at, byte[] body, OutputStream out) throws IOException {
		Topic topic = this.topics.computeIfAbsent(name, (key) -> new Topic());
		if (at != null && Long.parseLong(at) != topic.records.size()) {
			respond(out, "412 Precondition Failed", "{\"EndOffset\":" + topic.records.size() + "}");
			return;
		}
		int offset = topic.records.size();
		ByteBuffer bytes = ByteBuffer.wrap(body);
		while (bytes.remaining() >= 4) {
			byte[] content = new byte[bytes.getInt()];
			bytes.get(content);
			topic.records.add(content);
		}
		notifyAll();
		respond(out, "200 OK", "{\"Offset\":" + offset + ",\"EndOffset\":" + topic.records.size() + "}");
	}

	private synchronized void read(String name, int from, long waitMs, OutputStream out, int port)
			throws IOException, InterruptedException {
		Topic topic = this.topics.computeIfAbsent(name, (key) -> new Topic());
		if (from > topic.records.size()) {
			respond(out, "410 Gone", "{\"FirstOffset\":0}");
			return;
		}
		long end = System.nanoTime() + waitMs * 1_000_000;
		while (from >= topic.records.size()) {
			long left = (end - System.nanoTime()) / 1_000_000;
			if (left <= 0 || this.turnedAway.contains(port)) {
				break;
			}
			wait(left);
		}
		if (this.turnedAway.contains(port)) {
			respond(out, "503 Service Unavailable", new byte[0]);
			return;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		body.write(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
		for (byte[] content : topic.records.subList(from, topic.records.size())) {
			body.write(ByteBuffer.allocate(4).putInt(content.length).array());
			body.write(content);
		}
		respond(out, "200 OK", body.toByteArray());
	}

	private synchronized void newest(String name, OutputStream out) throws IOException {
		Topic topic = this.topics.computeIfAbsent(name, (key) -> new Topic());
		Map<String, String> entries = new TreeMap<>();
		for (int offset = 0; offset < topic.records.size(); offset++) {
			byte[] content = topic.records.get(offset);
			int length = Byte.toUnsignedInt(content[0]);
			String key = new String(content, 1, length, StandardCharsets.UTF_8);
			byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
			if (value.length == 0) {
				entries.remove(key);
			}
			else {
				entries.put(key, "{\"Key\":\"" + key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"Offset\":" + offset + "}");
			}
		}
		respond(out, "200 OK", "{\"Entries\":[" + String.join(",", entries.values())
				+ "],\"MorePages\":false,\"EndOffset\":" + topic.records.size() + "}");
	}

	/** Writes a keyed record, as the operator and the servers do. */
	synchronized void put(String name, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		byte[] content = new byte[1 + keyBytes.length + valueBytes.length];
		content[0] = (byte) keyBytes.length;
		System.arraycopy(keyBytes, 0, content, 1, keyBytes.length);
		System.arraycopy(valueBytes, 0, content, 1 + keyBytes.length, valueBytes.length);
		this.topics.computeIfAbsent(name, (topic) -> new Topic()).records.add(content);
		notifyAll();
	}

	synchronized void turnAway(int port) {
		this.turnedAway.add(port);
		notifyAll();
	}

	void serveAgain(int port) {
		this.turnedAway.remove(port);
	}

	private static void respond(OutputStream out, String status, String body) throws IOException {
		respond(out, status, body.getBytes(StandardCharsets.UTF_8));
	}

	private static void respond(OutputStream out, String status, byte[] body) throws IOException {
		byte[] head = ("HTTP/1.1 " + status + "\r\nStore-Era: 0\r\nContent-Type: application/json\r\nContent-Length: "
				+ body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII);
		byte[] all = Arrays.copyOf(head, head.length + body.length);
		System.arraycopy(body, 0, all, head.length, body.length);
		out.write(all);
		out.flush();
	}

	@Override
	public void close() throws IOException {
		for (ServerSocket listener : this.listeners) {
			listener.close();
		}
	}

}
