import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The store turns one of four daemons away while a server leaves, which the server says in all its answers. Judges which
 * requests reach the server later than DrainMs after the daemon has passed on such an answer, and how they end.
 */
final class LeavingServer {

	private static final int DRAIN_MS = 2_000;

	private static final int WORK_MS = 100;

	private static volatile boolean leaving;

	private static final AtomicLong firstPassedOn = new AtomicLong(Long.MAX_VALUE);

	private static final Map<String, Long> sentAt = new ConcurrentHashMap<>();

	private static final Set<String> late = ConcurrentHashMap.newKeySet();

	private static final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private LeavingServer() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, LeavingServer::play);
	}

	private static int play(Deployment deployment) throws Exception {
		Server first = new Server(deployment, "i-1", "archive-app", "za", 0,
				(head, in, out, socket) -> answer(deployment, head, in, out, socket, true));
		new Server(deployment, "i-2", "archive-app", "za", 0,
				(head, in, out, socket) -> answer(deployment, head, in, out, socket, false));
		deployment.publishConfiguration(3, """
				{"Name":"r-1","Host":"h.example","PathPrefix":"/stamp/","Kind":"non_idempotent","TimeoutMs":1000,
				"TargetLatencyMs":100,"Priority":1,"Service":"archive-app","MaxAttempts":1,"Public":true}""",
				"""
				{"Name":"archive-app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}""",
				"""
				{"Name":"t-1","ApiKeys":["key1"],"Priority":1}""");
		Deployment.Daemon daemon = deployment.start(1, "za");
		deployment.start(2, "zb");
		deployment.start(3, "zb");
		deployment.start(4, "zc");
		for (Deployment.Daemon one : deployment.daemons) {
			if (!one.awaitReady(30)) {
				deployment.record(one.name() + " was never ready");
				return Case.COULD_NOT_RUN;
			}
		}
		AtomicInteger lost = new AtomicInteger();
		AtomicInteger served = new AtomicInteger();
		List<Thread> threads = new ArrayList<>();
		for (int client = 0; client < 6; client++) {
			int number = client;
			Thread thread = new Thread(() -> ask(deployment, daemon, number, served, lost));
			thread.start();
			threads.add(thread);
		}
		Thread.sleep(2_000);
		if (Deployment.TROUBLE) {
			deployment.store.turnAway(daemon.storePort());
			deployment.record("the store turns " + daemon.name() + " away");
		}
		Thread.sleep(300);
		leaving = true;
		first.drain();
		deployment.record("i-1 leaves; the store has accepted its report");
		Thread.sleep(DRAIN_MS + 4_000);
		first.close();
		for (Socket socket : open) {
			socket.close();
		}
		deployment.record("i-1 has exited");
		Thread.sleep(1_000);
		deployment.store.serveAgain(daemon.storePort());
		for (Thread thread : threads) {
			thread.join();
		}
		deployment.record("DRAIN: " + late.size() + " requests reached i-1 later than " + DRAIN_MS
				+ " ms after the daemon passed on an answer with Server-Leaving; " + served + " requests were served, "
				+ lost + " that were accepted were cut off");
		deployment.recordOutputs(10);
		if (!late.isEmpty()) {
			return Case.BROKEN;
		}
		return (served.get() > 0) ? Case.HELD : Case.COULD_NOT_RUN;
	}

	private static boolean answer(Deployment deployment, Head head, InputStream in, OutputStream out, Socket socket,
			boolean first) throws IOException, InterruptedException {
		String id = head.field("X-Attempt-Id");
		in.readNBytes(head.contentLength());
		if (first) {
			open.add(socket);
			Long sent = sentAt.get(id);
			if (sent != null && firstPassedOn.get() != Long.MAX_VALUE
					&& sent - firstPassedOn.get() > DRAIN_MS * 1_000_000L) {
				late.add(id);
				deployment.record("i-1 runs " + id + ", sent " + (sent - firstPassedOn.get()) / 1_000_000
						+ " ms after an answer with Server-Leaving was passed on");
			}
		}
		Thread.sleep(WORK_MS);
		boolean says = first && leaving;
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Signature: s." + id
				+ ((says) ? "\r\nServer-Leaving: 1\r\nConnection: close" : "") + "\r\nContent-Length: 2\r\n\r\nok")
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		return !says;
	}

	private static void ask(Deployment deployment, Deployment.Daemon daemon, int number, AtomicInteger served,
			AtomicInteger lost) {
		try (Client client = new Client(daemon.callers())) {
			for (int count = 0; count < 100; count++) {
				String id = "c" + number + "n" + count;
				sentAt.put(id, System.nanoTime());
				int status = client.send("POST", "/stamp/x", id, 1_000);
				if (client.field("Server-Leaving") != null) {
					long now = System.nanoTime();
					if (firstPassedOn.getAndAccumulate(now, Math::min) == Long.MAX_VALUE) {
						deployment.record("the first answer with Server-Leaving was passed on, to " + id);
					}
				}
				if (status == 200) {
					served.incrementAndGet();
				}
				else if (late.contains(id)) {
					lost.incrementAndGet();
				}
				deployment.record("client sent " + id + ", got " + status);
				Thread.sleep(30);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
