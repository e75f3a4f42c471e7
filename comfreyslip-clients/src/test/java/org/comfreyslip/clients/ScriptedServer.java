package org.comfreyslip.clients;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * HTTP server that records the first line of each request and lets a script write the
 * response.
 */
public final class ScriptedServer implements AutoCloseable {

	/** Connections that may wait to be accepted; a larger burst loses some of them. */
	private static final int BACKLOG = 2_048;

	private final ServerSocket socket;

	private final Script script;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> connections = new CopyOnWriteArrayList<>();

	public ScriptedServer(Script script) throws IOException {
		this.script = script;
		this.socket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
		start(this::accept);
	}

	public String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	/** First lines of the requests received. */
	public List<String> requests() {
		return this.requests;
	}

	public List<Socket> connections() {
		return this.connections;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	private void accept() throws IOException {
		while (true) {
			Socket connection = this.socket.accept();
			this.connections.add(connection);
			start(() -> serve(connection));
		}
	}

	private void serve(Socket connection) throws IOException {
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			this.requests.add(line);
			int length = 0;
			for (String header = reader.readLine(); !header.isEmpty(); header = reader.readLine()) {
				if (header.startsWith("Content-Length:")) {
					length = Integer.parseInt(header.substring("Content-Length:".length()).strip());
				}
			}
			reader.skip(length);
			this.script.respond(connection.getOutputStream());
		}
	}

	private static void start(Loop loop) {
		Thread thread = new Thread(() -> {
			try {
				loop.run();
			}
			catch (IOException ex) {
				// The test has ended or the client has closed its connection.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Writes the response to one request.
	 */
	@FunctionalInterface
	public interface Script {

		void respond(OutputStream out) throws IOException;

	}

	@FunctionalInterface
	private interface Loop {

		void run() throws IOException;

	}

}
