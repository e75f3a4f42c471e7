import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer before it has read a long body, without a length, and three of five reset the connection midway through
 * some answers. Judges whether the client takes the part for the whole.
 */
final class TruncatedAnswer {

	private static final int REQUEST_BYTES = 4_000_000;

	private static final int ANSWER_BYTES = 60_000;

	private static final int REQUESTS = 1_200;

	private static final int CLIENTS = 3;

	private static final List<String> FAULTY = List.of("i-1", "i-2", "i-3");

	private static final AtomicInteger resets = new AtomicInteger();

	private TruncatedAnswer() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, TruncatedAnswer::play);
	}

	private static int play(Deployment deployment) throws Exception {
		for (String server : List.of("i-1", "i-2", "i-3", "i-4", "i-5")) {
			AtomicInteger count = new AtomicInteger();
			new Server(deployment, server, "archive-app", "za", 0, (head, in, out, socket) -> answer(deployment,
					Deployment.TROUBLE && FAULTY.contains(server) && count.getAndIncrement() % 40 == 7, head, in, out, socket));
		}
		deployment.publishConfiguration(3, """
				{"Name":"r-1","Host":"h.example","PathPrefix":"/stamp/","Kind":"non_idempotent","TimeoutMs":8000,
				"TargetLatencyMs":500,"Priority":1,"Service":"archive-app","MaxAttempts":1,"Public":false}""",
				"""
				{"Name":"archive-app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}""",
				"""
				{"Name":"t-1","ApiKeys":["key1"],"Priority":1}""");
		Deployment.Daemon daemon = deployment.start(1, "za");
		if (!daemon.awaitReady(30)) {
			deployment.record("the daemon was never ready");
			return Case.COULD_NOT_RUN;
		}
		AtomicInteger next = new AtomicInteger(1);
		AtomicInteger broken = new AtomicInteger();
		AtomicInteger whole = new AtomicInteger();
		List<Thread> threads = new ArrayList<>();
		for (int client = 0; client < CLIENTS; client++) {
			Thread thread = new Thread(() -> {
				for (int number = next.getAndIncrement(); number <= REQUESTS; number = next.getAndIncrement()) {
					int result = request(deployment, daemon, number);
					broken.addAndGet((result == 1) ? 1 : 0);
					whole.addAndGet((result == 0) ? 1 : 0);
				}
			});
			thread.start();
			threads.add(thread);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		deployment.record("MIXED: " + broken + " of " + REQUESTS + " answers looked complete and were not; " + whole
				+ " were whole; " + resets + " were reset");
		deployment.recordOutputs(12);
		boolean valid = Deployment.TROUBLE || whole.get() == REQUESTS;
		return (broken.get() > 0) ? Case.BROKEN : (valid) ? Case.HELD : Case.COULD_NOT_RUN;
	}

	private static byte[] wholeAnswer(String attemptId) {
		byte[] body = new byte[ANSWER_BYTES];
		Arrays.fill(body, (byte) attemptId.charAt(attemptId.length() - 1));
		return body;
	}

	private static boolean answer(Deployment deployment, boolean breaksOff, Head head, InputStream in, OutputStream out, Socket socket
			)
			throws IOException, InterruptedException {
		String id = head.field("X-Attempt-Id");
		byte[] body = wholeAnswer(id);
		in.readNBytes(20_000);
		deployment.record("server runs " + id + " and answers before the body is in");
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Signature: s." + id
				+ "\r\nConnection: close\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		out.write(body, 0, ANSWER_BYTES / 2);
		out.flush();
		if (breaksOff) {
			resets.incrementAndGet();
			Thread.sleep(50);
			deployment.record("server resets the connection of " + id + " after " + ANSWER_BYTES / 2 + " of "
					+ ANSWER_BYTES + " bytes");
			socket.setSoLinger(true, 0);
			socket.close();
			return false;
		}
		out.write(body, ANSWER_BYTES / 2, ANSWER_BYTES / 2);
		out.flush();
		in.readNBytes(head.contentLength() - 20_000);
		deployment.record("server has sent the whole answer to " + id);
		return false;
	}

	// Returns 1 if a part of the answer looked complete, 0 if the answer was whole, and 2 for a failure that
	// shows as one.
	private static int request(Deployment deployment, Deployment.Daemon daemon, int number) {
		String id = "a" + number;
		try (Socket socket = new Socket()) {
			socket.connect(daemon.callers(), 1_000);
			socket.setSoTimeout(10_000);
			OutputStream out = socket.getOutputStream();
			out.write(("POST /stamp/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
					+ "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key1\r\nContent-Length: " + REQUEST_BYTES
					+ "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			out.write(new byte[REQUEST_BYTES]);
			out.flush();
			deployment.record("client sent " + id);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Head head = Head.read(in);
			if (head == null) {
				deployment.record("client: the connection of " + id + " ended without an answer");
				return 2;
			}
			int stated = head.contentLength();
			byte[] body = in.readNBytes(stated);
			deployment.record("client got " + head.first + " signature " + head.field("X-Server-Signature")
					+ " Content-Length " + head.field("Content-Length") + " body " + body.length + " bytes of "
					+ ANSWER_BYTES);
			if (head.status() != 200) {
				return 2;
			}
			boolean complete = head.field("Content-Length") != null && body.length == stated;
			if (Arrays.equals(body, wholeAnswer(id))) {
				return 0;
			}
			return (complete) ? 1 : 2;
		}
		catch (IOException ex) {
			deployment.record("client: " + id + " failed: " + ex);
			return 2;
		}
	}

}
