import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three servers spoils one byte in the number of one event of some streams. Judges whether the pieces that it sends
 * after that one reach the client, or the stream shows that it is broken.
 */
final class SpoiledStream {

	private static final int STREAMS = 360;

	private static final int CLIENTS = 12;

	private static final int PIECES = 40;

	private static final int SPOILED_PIECE = 7;

	private static final AtomicInteger next = new AtomicInteger();

	private static final AtomicInteger broken = new AtomicInteger();

	private static final AtomicInteger whole = new AtomicInteger();

	private SpoiledStream() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, SpoiledStream::play);
	}

	private static int play(Deployment deployment) throws Exception {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			AtomicInteger count = new AtomicInteger();
			new Server(deployment, server, "archive-app", "za", 0, (head, in, out, socket) -> answer(deployment,
					Deployment.TROUBLE && server.equals("i-1") && count.getAndIncrement() % 40 == 7, head, in, out));
		}
		deployment.publishConfiguration(3, """
				{"Name":"r-1","Host":"h.example","PathPrefix":"/letter/","Kind":"streaming","TimeoutMs":8000,
				"TargetLatencyMs":500,"Priority":1,"Service":"archive-app","MaxAttempts":2,"Public":false,
				"Resumable":true,"TargetGapMs":200}""",
				"""
				{"Name":"archive-app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}""",
				"""
				{"Name":"t-1","ApiKeys":["key1"],"Priority":1}""");
		Deployment.Daemon daemon = deployment.start(1, "za");
		if (!daemon.awaitReady(30)) {
			deployment.record("the daemon was never ready");
			return Case.COULD_NOT_RUN;
		}
		List<Thread> threads = new ArrayList<>();
		for (int client = 0; client < CLIENTS; client++) {
			Thread thread = new Thread(() -> {
				for (int number = next.getAndIncrement(); number < STREAMS; number = next.getAndIncrement()) {
					request(deployment, daemon, number);
				}
			});
			thread.start();
			threads.add(thread);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		deployment.record("ORDER: " + broken + " of " + STREAMS + " streams ended as complete without pieces that the server"
				+ " had sent; " + whole + " were whole");
		deployment.recordOutputs(5);
		return (broken.get() > 0) ? Case.BROKEN : (whole.get() > 0) ? Case.HELD : Case.COULD_NOT_RUN;
	}

	private static String piece(String id, int number) {
		return "data: piece " + number + " of " + id + "\n\n";
	}

	private static boolean answer(Deployment deployment, boolean spoils, Head head, InputStream in, OutputStream out)
			throws IOException, InterruptedException {
		String id = head.field("X-Attempt-Id");
		in.readNBytes(head.contentLength());
		int after = (head.field("Last-Event-Id") == null) ? 0 : Integer.parseInt(head.field("Last-Event-Id"));
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Signature: s." + id
				+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		for (int number = after + 1; number <= PIECES; number++) {
			boolean spoiled = spoils && number == SPOILED_PIECE;
			if (spoiled) {
				deployment.record("server spoils the number of piece " + number + " of " + id + ": id: 9" + number);
			}
			String event = "id: " + ((spoiled) ? "9" : "") + number + "\n" + piece(id, number);
			out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
			out.flush();
			Thread.sleep(5);
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		out.flush();
		if (after == 0) {
			deployment.record("server has sent " + id + " to its end, piece " + PIECES);
		}
		return true;
	}

	private static void request(Deployment deployment, Deployment.Daemon daemon, int number) {
		String id = "s" + number;
		try (Socket socket = new Socket()) {
			socket.connect(daemon.callers(), 1_000);
			socket.setSoTimeout(9_000);
			socket.getOutputStream()
				.write(("POST /letter/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
						+ "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key1\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Head head = Head.read(in);
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			boolean complete = head != null && head.status() == 200 && readChunks(in, bytes);
			String text = bytes.toString(StandardCharsets.US_ASCII);
			List<Integer> missing = new ArrayList<>();
			for (int piece = 1; piece <= PIECES; piece++) {
				if (piece != SPOILED_PIECE && !text.contains(piece(id, piece))) {
					missing.add(piece);
				}
			}
			if (complete && !missing.isEmpty()) {
				broken.incrementAndGet();
			}
			whole.addAndGet((complete && missing.isEmpty()) ? 1 : 0);
			deployment.record("client " + id + ": the stream " + ((complete) ? "ends as complete" : "is broken off")
					+ ", pieces missing " + missing);
		}
		catch (IOException ex) {
			deployment.record("client " + id + " failed: " + ex);
		}
	}

	/** Reads the chunks of a body. Returns whether the last one came. */
	private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
		while (true) {
			StringBuilder line = new StringBuilder();
			int next;
			while ((next = in.read()) >= 0 && next != '\n') {
				line.append((char) next);
			}
			if (next < 0) {
				return false;
			}
			int size = Integer.parseInt(line.toString().trim(), 16);
			byte[] bytes = in.readNBytes(size);
			body.write(bytes);
			if (bytes.length < size || in.readNBytes(2).length < 2) {
				return false;
			}
			if (size == 0) {
				return true;
			}
		}
	}

}
