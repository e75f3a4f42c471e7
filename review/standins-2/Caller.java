import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a client: one connection that is kept open for its requests. */
final class Caller implements AutoCloseable {

	private static final AtomicLong ATTEMPTS = new AtomicLong();

	private final InetSocketAddress address;

	private Socket socket;

	private InputStream in;

	Caller(InetSocketAddress address) {
		this.address = address;
	}

	static String newAttempt() {
		return String.format("%016x", 0x5a00000000000000L + ATTEMPTS.incrementAndGet());
	}

	void connect(int timeoutMs) throws IOException {
		this.socket = new Socket();
		this.socket.setTcpNoDelay(true);
		this.socket.connect(this.address, 1_000);
		this.socket.setSoTimeout(timeoutMs);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	/** Sends a request and returns its answer; throws if the connection ends first. */
	Answer call(String method, String path, String attempt, int deadlineMs, byte[] body, String... fields)
			throws IOException {
		if (this.socket == null || this.socket.isClosed()) {
			connect(deadlineMs + 4_000);
		}
		send(method, path, attempt, deadlineMs, body, fields);
		return readAnswer();
	}

	void send(String method, String path, String attempt, int deadlineMs, byte[] body, String... fields)
			throws IOException {
		String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n"
				+ ((fields.length > 0) ? String.join("\r\n", fields) + "\r\n" : "")
				+ ((body.length > 0) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
		byte[] bytes = Server.bytes(head);
		byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
		System.arraycopy(body, 0, all, bytes.length, body.length);
		this.socket.getOutputStream().write(all);
	}

	Answer readAnswer() throws IOException {
		Protocol.Head head = Protocol.readResponseHead(this.in);
		if (head == null) {
			close();
			throw new IOException("the connection ended without an answer");
		}
		byte[] body = Protocol.readBody(this.in, head);
		if (head.field("connection").equals("close")) {
			close();
		}
		return new Answer(head, body);
	}

	/** Sends a HEAD request and returns the head of its answer, which has no body. */
	Protocol.Head callHead(String path, String attempt, int deadlineMs) throws IOException {
		if (this.socket == null || this.socket.isClosed()) {
			connect(deadlineMs + 4_000);
		}
		send("HEAD", path, attempt, deadlineMs, new byte[0]);
		Protocol.Head head = Protocol.readResponseHead(this.in);
		if (head == null) {
			throw new IOException("the connection ended without an answer");
		}
		return head;
	}

	/** Tells whether bytes have arrived that belong to no request. */
	boolean strayBytes() throws IOException {
		return this.socket != null && !this.socket.isClosed() && this.in.available() > 0;
	}

	@Override
	public void close() throws IOException {
		if (this.socket != null) {
			this.socket.close();
		}
	}

	record Answer(Protocol.Head head, byte[] body) {
	}

}
