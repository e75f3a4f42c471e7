import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three busy servers turn requests away while they are full; after some of these answers one of them sends a part of a
 * second one.
 * Judges whether a request that may run once runs at two of them.
 */
final class RunTwice {

	private static final int SLOTS = 6;

	private static final int CLIENTS = 28;

	private static final int REQUESTS_PER_CLIENT = 500;

	private static final AtomicInteger answers = new AtomicInteger();

	private static final AtomicInteger spoiled = new AtomicInteger();

	private RunTwice() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, RunTwice::play);
	}

	private static int play(Deployment deployment) throws Exception {
		Map<String, List<String>> runs = new ConcurrentHashMap<>();
		for (String id : List.of("i-1", "i-2", "i-3")) {
			Semaphore slots = new Semaphore(SLOTS);
			new Server(deployment, id, "archive-app", "za", 0,
					(head, in, out, socket) -> answer(deployment, id, slots, runs, head, in, out));
		}
		deployment.publishConfiguration(3, """
				{"Name":"r-1","Host":"h.example","PathPrefix":"/stamp/","Kind":"non_idempotent","TimeoutMs":1000,
				"TargetLatencyMs":100,"Priority":1,"Service":"archive-app","MaxAttempts":1,"Public":false}""",
				"""
				{"Name":"archive-app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}""",
				"""
				{"Name":"t-1","ApiKeys":["key1"],"Priority":1}""");
		Deployment.Daemon daemon = deployment.start(1, "za");
		if (!daemon.awaitReady(30)) {
			deployment.record("the daemon was never ready");
			return Case.COULD_NOT_RUN;
		}
		Map<String, Integer> statuses = new ConcurrentHashMap<>();
		List<Thread> threads = new ArrayList<>();
		for (int number = 0; number < CLIENTS; number++) {
			String name = "c" + number;
			Thread thread = new Thread(() -> ask(daemon, name, statuses));
			thread.start();
			threads.add(thread);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		statuses.forEach((id, status) -> deployment
			.record("client sent " + id + ", got " + status + ", ran at " + runs.getOrDefault(id, List.of())));
		int twice = 0;
		int refused = 0;
		for (Map.Entry<String, List<String>> run : runs.entrySet()) {
			if (run.getValue().size() > 1) {
				twice++;
				deployment.record("TWICE: " + run.getKey() + " ran at " + run.getValue() + ", the client got "
						+ statuses.get(run.getKey()));
			}
			if (statuses.getOrDefault(run.getKey(), 0) == 503) {
				refused++;
				deployment.record("REFUSED: " + run.getKey() + " ran at " + run.getValue() + ", the client got 503");
			}
		}
		long served = statuses.values().stream().filter((status) -> status == 200).count();
		deployment.record("TWICE: " + twice + " of " + statuses.size() + " requests that may run once ran twice; "
				+ refused + " were answered 503 and had run; " + served + " were served; " + spoiled + " of " + answers
				+ " answers of i-1 were followed by a part of a second one");
		deployment.recordOutputs(5);
		return (twice > 0) ? Case.BROKEN : (served > 0) ? Case.HELD : Case.COULD_NOT_RUN;
	}

	private static boolean answer(Deployment deployment, String server, Semaphore slots, Map<String, List<String>> runs,
			Head head, InputStream in, OutputStream out) throws IOException, InterruptedException {
		String id = head.field("X-Attempt-Id");
		in.readNBytes(head.contentLength());
		int number = (server.equals("i-1")) ? answers.incrementAndGet() : 0;
		if (!slots.tryAcquire()) {
			String text = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + id
					+ "\r\nContent-Length: 4\r\n\r\nfull";
			// At most one answer in forty is followed by a part of a second one, which stops within the third line.
			if (Deployment.TROUBLE && server.equals("i-1") && spoiled.get() < number / 40) {
				spoiled.incrementAndGet();
				deployment.record(server + " turns " + id + " away and sends a part of this answer once more");
				text += text.substring(0, text.indexOf("X-Attempt-Id") + 5);
			}
			out.write(text.getBytes(StandardCharsets.US_ASCII));
			out.flush();
			return true;
		}
		try {
			runs.computeIfAbsent(id, (key) -> new ArrayList<>()).add(server);
			Thread.sleep(20);
		}
		finally {
			slots.release();
		}
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Signature: s." + id
				+ "\r\nContent-Length: 8\r\n\r\nrecorded")
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		return true;
	}

	private static void ask(Deployment.Daemon daemon, String name, Map<String, Integer> statuses) {
		try (Client client = new Client(daemon.callers())) {
			for (int number = 0; number < REQUESTS_PER_CLIENT; number++) {
				String id = name + "n" + number;
				statuses.put(id, client.send("POST", "/stamp/x", id, 1_000));
				Thread.sleep(10);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
