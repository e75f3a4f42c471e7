import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in for a server of a plain service. It registers itself and answers health checks and requests. */
class Server implements AutoCloseable {

	interface Work {

		/** Answers a request whose head was read. Returns whether the connection goes on. */
		boolean answer(Head head, InputStream in, OutputStream out, Socket socket) throws IOException, InterruptedException;

	}

	final String id;

	final String service;

	private final String zone;

	private final Deployment deployment;

	private final ServerSocket listener;

	private final Work work;

	private final long born = System.currentTimeMillis();

	private long sequence;

	private volatile String state = "ready";

	private volatile boolean registering = true;

	Server(Deployment deployment, String id, String service, String zone, int receiveBuffer, Work work)
			throws IOException {
		this.deployment = deployment;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.work = work;
		this.listener = new ServerSocket();
		if (receiveBuffer > 0) {
			this.listener.setReceiveBufferSize(receiveBuffer);
		}
		this.listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		daemonThread(this::accept);
		daemonThread(this::register);
	}

	private static void daemonThread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	synchronized void writeEntry() {
		if (!this.registering) {
			return;
		}
		this.sequence++;
		this.deployment.store.put("keyed.servers", this.id,
				"{\"Service\":\"" + this.service + "\",\"Address\":\"127.0.0.1:" + this.listener.getLocalPort()
						+ "\",\"Zone\":\"" + this.zone + "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + this.state
						+ "\",\"ColdRemainingMs\":0,\"Sequence\":" + this.sequence + ",\"born\":" + this.born + "}");
	}

	private void register() {
		try {
			while (true) {
				writeEntry();
				Thread.sleep(1_200);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				daemonThread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			Head head;
			while ((head = Head.read(in)) != null) {
				String expected = head.field("X-Expected-Instance");
				if (expected != null && !expected.equals(this.id)) {
					in.readNBytes(head.contentLength());
					out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + this.id
							+ "\r\nContent-Length: 0\r\n\r\n")
						.getBytes());
				}
				else if (head.path().equals("/healthz")) {
					out.write(("HTTP/1.1 200 OK\r\nX-Instance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n")
						.getBytes());
				}
				else if (!this.work.answer(head, in, out, socket)) {
					return;
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has gone.
		}
	}

	/** Reports that the server leaves. It goes on to serve. */
	void drain() {
		this.state = "draining";
		writeEntry();
	}

	/** Ends the server: new connections are refused. */
	@Override
	public void close() throws IOException {
		this.registering = false;
		this.listener.close();
	}

}
