import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a server of a service; one thread a connection. */
final class Server implements AutoCloseable {

	private static final AtomicLong SIGNATURES = new AtomicLong();

	final String id;

	final long born = System.currentTimeMillis();

	private final ServerSocket listener;

	private final Handler handler;

	private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();

	private volatile boolean closed;

	Server(String id, Handler handler) throws IOException {
		this.id = id;
		this.handler = handler;
		this.listener = new ServerSocket(0, 400, InetAddress.getByName("127.0.0.1"));
		Deployment.startThread("server " + id, this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket connection = this.listener.accept();
				connection.setTcpNoDelay(true);
				this.open.put(connection, true);
				Deployment.startThread("connection of " + this.id, () -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			while (true) {
				Protocol.Head head = Protocol.readHead(in);
				if (head == null) {
					return;
				}
				String expected = head.field("x-expected-instance");
				byte[] body = Protocol.readBody(in, head);
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					out.write(bytes("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + this.id
							+ "\r\nContent-Length: 0\r\n\r\n"));
					continue;
				}
				if (head.first().startsWith("GET /healthz")) {
					out.write(bytes("HTTP/1.1 200 OK\r\nX-Instance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n"));
					continue;
				}
				if (head.first().startsWith("GET /api/report")) {
					byte[] report = bytes("{\"Stage\":\"unified\",\"Models\":[{\"Name\":\"m\",\"Version\":1}],\"Busy\":false,"
							+ "\"Sequence\":1,\"Queued\":0,\"Active\":1,\"KvUsed\":100,\"KvTotal\":69791,\"pace\":1.0,"
							+ "\"Layers\":[{\"From\":0,\"To\":8,\"Version\":1}]}");
					out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length
							+ "\r\n\r\n"));
					out.write(report);
					continue;
				}
				this.handler.handle(new Request(head, body, connection, in, out));
			}
		}
		catch (IOException ex) {
			// The peer closed or reset the connection.
		}
		finally {
			this.open.remove(connection);
		}
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	/** Head of a signed success of the given request, without framing fields and end. */
	static String signedHead(Protocol.Head request) {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("x-attempt-id") + "\r\nX-Server-Signature: sig."
				+ SIGNATURES.incrementAndGet() + "\r\n";
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
		for (Socket connection : this.open.keySet()) {
			connection.close();
		}
	}

	interface Handler {

		void handle(Request request) throws IOException;

	}

	record Request(Protocol.Head head, byte[] body, Socket connection, InputStream in, OutputStream out) {

		String attempt() {
			return this.head.field("x-attempt-id");
		}

		/** Answers with success and a body. */
		void answer(byte[] content) throws IOException {
			byte[] head = bytes(signedHead(this.head) + "Content-Length: " + content.length + "\r\n\r\n");
			byte[] all = java.util.Arrays.copyOf(head, head.length + content.length);
			System.arraycopy(content, 0, all, head.length, content.length);
			this.out.write(all);
			this.out.flush();
		}

	}

}
