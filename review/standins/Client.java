import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one kept connection to a daemon; it opens a new one after a failure. */
final class Client implements AutoCloseable {

	private final InetSocketAddress address;

	private Socket socket;

	private InputStream in;

	private Head answer;

	Client(InetSocketAddress address) {
		this.address = address;
	}

	/** Sends a request without a body. Returns the answer's status; 0 if none came. */
	int send(String method, String path, String attemptId, int deadlineMs) {
		this.answer = null;
		try {
			if (this.socket == null) {
				this.socket = new Socket();
				this.socket.setTcpNoDelay(true);
				this.socket.connect(this.address, 1_000);
				this.in = new BufferedInputStream(this.socket.getInputStream());
			}
			this.socket.setSoTimeout(deadlineMs + 2_000);
			this.socket.getOutputStream()
				.write((method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attemptId
						+ "\r\nX-Deadline-Ms: " + deadlineMs
						+ "\r\nAuthorization: Bearer key1\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			Head head = Head.read(this.in);
			if (head == null) {
				close();
				return 0;
			}
			this.in.readNBytes(head.contentLength());
			this.answer = head;
			if ("close".equalsIgnoreCase(head.field("Connection"))) {
				close();
			}
			return head.status();
		}
		catch (IOException ex) {
			close();
			return 0;
		}
	}

	/** Returns a field of the last answer; null if it has none. */
	String field(String name) {
		return (this.answer == null) ? null : this.answer.field(name);
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// It is closed.
		}
		this.socket = null;
	}

}
