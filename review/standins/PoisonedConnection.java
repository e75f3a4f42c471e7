import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients send a long body at once, and the servers, which are slow, reject some of these requests before they have
 * read the body and read on later. Judges whether each server gets the rest of that body.
 */
final class PoisonedConnection {

	private static final int BODY_BYTES = Integer.getInteger("bytes", 2_700_000);

	private static final int CLIENTS = Integer.getInteger("clients", 24);

	private static final int SLOTS = 6;

	private static final int SECONDS = Integer.getInteger("seconds", 20);

	private static final AtomicInteger foreign = new AtomicInteger();

	private static volatile boolean over;

	private PoisonedConnection() {
	}

	public static void main(String[] arguments) throws Exception {
		int exit;
		try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
			for (int number = 1; number <= 3; number++) {
				Semaphore slots = new Semaphore(SLOTS);
				String server = "i-" + number;
				new Server(deployment, server, "archive-app", "za", 65_536,
						(head, in, out, socket) -> answer(deployment, server, slots, head, in, out));
			}
			deployment.publishConfiguration(3, """
					{"Name":"r-1","Host":"h.example","PathPrefix":"/stamp/","Kind":"non_idempotent","TimeoutMs":6000,
					"TargetLatencyMs":500,"Priority":1,"Service":"archive-app","MaxAttempts":1,"Public":false},
					{"Name":"r-2","Host":"h.example","PathPrefix":"/lookup/","Kind":"idempotent","TimeoutMs":2000,
					"TargetLatencyMs":500,"Priority":1,"Service":"archive-app","MaxAttempts":2,"Public":false}""",
					"""
					{"Name":"archive-app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}""",
					"""
					{"Name":"t-1","ApiKeys":["key1"],"Priority":1}""");
			Deployment.Daemon daemon = deployment.start(1, "za");
			if (!daemon.awaitReady(30)) {
				deployment.record("the daemon was never ready");
				System.exit(2);
			}
			List<Thread> threads = new ArrayList<>();
			int clients = Deployment.TROUBLE ? CLIENTS : 3;
			for (int number = 0; number < clients; number++) {
				String name = "u" + number;
				Thread thread = new Thread(() -> upload(deployment, daemon, name));
				thread.start();
				threads.add(thread);
			}
			AtomicInteger[] lookups = { new AtomicInteger(), new AtomicInteger() };
			for (int number = 0; number < 4; number++) {
				String name = "l" + number;
				Thread thread = new Thread(() -> lookUp(deployment, daemon, name, lookups));
				thread.start();
				threads.add(thread);
			}
			Thread.sleep(TimeUnit.SECONDS.toMillis(SECONDS));
			over = true;
			for (Thread thread : threads) {
				thread.join();
			}
			deployment.record("UNASKED: " + foreign + " times a server got other bytes where the rest of a body was due; "
					+ lookups[0] + " look-ups were served and " + lookups[1] + " were not");
			deployment.recordOutputs(30);
			exit = (foreign.get() > 0) ? 1 : (lookups[0].get() > 0) ? 0 : 2;
		}
		System.exit(exit);
	}

	private static boolean answer(Deployment deployment, String server, Semaphore slots, Head head, InputStream in,
			OutputStream out) throws IOException, InterruptedException {
		String id = head.field("X-Attempt-Id");
		int length = head.contentLength();
		if (length == 0) {
			respond(out, "200 OK", "X-Server-Signature: s." + id + "\r\n", id);
			return true;
		}
		boolean taken = slots.tryAcquire();
		if (!taken) {
			respond(out, "503 Service Unavailable", "X-Not-Executed: 1\r\n", id);
			deployment.record(server + " rejects " + id + " before its body is in");
		}
		else {
			Thread.sleep(1_500);
		}
		try {
			byte[] buffer = new byte[65_536];
			int left = length;
			while (left > 0) {
				int count = in.read(buffer, 0, Math.min(left, buffer.length));
				if (count < 0) {
					return false;
				}
				for (int index = 0; index < count; index++) {
					if (buffer[index] != 'b') {
						foreign.incrementAndGet();
						deployment.record(server + " got, after " + (length - left + index) + " of " + length
								+ " bytes of the body of " + id + ": "
								+ new String(buffer, index, Math.min(90, count - index), StandardCharsets.ISO_8859_1)
									.replace("\r\n", " | "));
						return false;
					}
				}
				left -= count;
			}
		}
		finally {
			if (taken) {
				slots.release();
			}
		}
		if (taken) {
			deployment.record(server + " ran " + id);
			respond(out, "200 OK", "X-Server-Signature: s." + id + "\r\n", id);
		}
		return true;
	}

	private static void respond(OutputStream out, String status, String field, String id) throws IOException {
		out.write(("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n" + field + "Content-Length: 2\r\n\r\nok")
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	private static void upload(Deployment deployment, Deployment.Daemon daemon, String name) {
		byte[] body = new byte[BODY_BYTES];
		Arrays.fill(body, (byte) 'b');
		for (int number = 0; !over; number++) {
			String id = name + "n" + number;
			try (Socket socket = new Socket()) {
				socket.connect(daemon.callers(), 1_000);
				socket.setSoTimeout(9_000);
				OutputStream out = socket.getOutputStream();
				out.write(("POST /stamp/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
						+ "\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key1\r\nContent-Length: " + BODY_BYTES
						+ "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
				out.write(body);
				out.flush();
				Head head = Head.read(socket.getInputStream());
				deployment.record("client " + id + " got " + ((head == null) ? "no answer" : head.first));
			}
			catch (IOException ex) {
				deployment.record("client " + id + " failed: " + ex.getMessage());
			}
			try {
				Thread.sleep(100);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private static void lookUp(Deployment deployment, Deployment.Daemon daemon, String name, AtomicInteger[] counts) {
		try (Client client = new Client(daemon.callers())) {
			for (int number = 0; !over; number++) {
				String id = name + "n" + number;
				int status = client.send("GET", "/lookup/x", id, 2_000);
				counts[(status == 200) ? 0 : 1].incrementAndGet();
				if (status != 200) {
					deployment.record("client " + id + " got " + status);
				}
				Thread.sleep(20);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
