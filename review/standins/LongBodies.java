import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients send a long body at the same time. Judges whether the daemon answers each request, or crashes. */
final class LongBodies {

	private static final int REQUEST_BYTES = Integer.getInteger("bytes", 2_200_000);

	private static final int CLIENTS = Integer.getInteger("clients", 60);

	private static final int ROUNDS = Integer.getInteger("rounds", 3);

	private LongBodies() {
	}

	public static void main(String[] arguments) throws Exception {
		int exit;
		try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
			List<Server> servers = new ArrayList<>();
			for (int number = 1; number <= 3; number++) {
				servers.add(new Server(deployment, "i-" + number, "archive-app", "za", 0,
						(head, in, out, socket) -> answer(deployment, head, in, out)));
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
				System.exit(2);
			}
			AtomicInteger[] counts = { new AtomicInteger(), new AtomicInteger(), new AtomicInteger() };
			int clients = Deployment.TROUBLE ? CLIENTS : 4;
			for (int round = 0; round < ROUNDS; round++) {
				List<Thread> threads = new ArrayList<>();
				for (int number = 1; number <= clients; number++) {
					String id = "r" + round + "c" + number;
					Thread thread = new Thread(() -> counts[request(deployment, daemon, id)].incrementAndGet());
					thread.start();
					threads.add(thread);
				}
				for (Thread thread : threads) {
					thread.join();
				}
				deployment.record("round " + round + " alive " + daemon.process().isAlive() + " ready " + daemon.isReady()
						+ " answered " + counts[0] + " refused " + counts[1] + " ended without an answer " + counts[2]);
			}
			deployment.recordOutputs(40);
			exit = (counts[2].get() > 3 || !daemon.process().isAlive()) ? 1 : 0;
		}
		System.exit(exit);
	}

	private static boolean answer(Deployment deployment, Head head, InputStream in, OutputStream out)
			throws IOException, InterruptedException {
		String id = head.field("X-Attempt-Id");
		in.readNBytes(head.contentLength());
		Thread.sleep(20);
		deployment.record("server ran " + id);
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Signature: s." + id
				+ "\r\nContent-Length: 2\r\n\r\nok")
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		return true;
	}

	private static int request(Deployment deployment, Deployment.Daemon daemon, String id) {
		try (Socket socket = new Socket()) {
			socket.connect(daemon.callers(), 1_000);
			socket.setSoTimeout(20_000);
			OutputStream out = socket.getOutputStream();
			out.write(("POST /stamp/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
					+ "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key1\r\nContent-Length: " + REQUEST_BYTES
					+ "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			out.write(new byte[REQUEST_BYTES]);
			out.flush();
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Head head = Head.read(in);
			deployment.record("client " + id + " got " + ((head == null) ? "the end of the connection" : head.first));
			return (head == null) ? 2 : (head.status() == 200) ? 0 : 1;
		}
		catch (IOException ex) {
			deployment.record("client " + id + " failed: " + ex);
			return 2;
		}
	}

}
