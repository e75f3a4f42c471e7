import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three servers sends a part of a second answer after some complete answers. Judges whether the next request on that
 * connection gets the answer that the server gave to it.
 */
final class StrayBytes {

	private static final int REQUESTS = 600;

	private static final String DATE = "Date: Sat, 05 Dec 2026 12:00:00 GMT\r\n";

	private StrayBytes() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, StrayBytes::play);
	}

	private static int play(Deployment deployment) throws Exception {
		Map<String, Integer> answered = new ConcurrentHashMap<>();
		for (String server : List.of("i-1", "i-2", "i-3")) {
			AtomicInteger count = new AtomicInteger();
			new Server(deployment, server, "archive-app", "za", 0,
					(head, in, out, socket) -> answer(deployment, server, count.getAndIncrement(), answered, head, in, out));
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
		int wrong = 0;
		int right = 0;
		try (Client client = new Client(daemon.callers())) {
			for (int number = 0; number < REQUESTS; number++) {
				String id = "a" + number;
				int status = client.send("POST", "/stamp/x", id, 1_000);
				int given = answered.getOrDefault(id, 0);
				boolean asSuccess = status / 100 == 2 && given / 100 != 2;
				wrong += (asSuccess) ? 1 : 0;
				right += (status == given) ? 1 : 0;
				deployment.record("client " + id + " got " + status + " signature "
						+ client.field("X-Server-Signature") + ", the server answered " + given
						+ ((asSuccess) ? ": a success where the server had answered with a failure" : ""));
				Thread.sleep(5);
			}
		}
		deployment.record("MIXED: " + wrong + " of " + REQUESTS
				+ " requests that the server answered with a failure were answered with a success; " + right
				+ " got the server's status");
		deployment.recordOutputs(5);
		return (wrong > 0) ? Case.BROKEN : (right > 0) ? Case.HELD : Case.COULD_NOT_RUN;
	}

	private static boolean answer(Deployment deployment, String server, int number, Map<String, Integer> answered,
			Head head, InputStream in, OutputStream out) throws IOException {
		String id = head.field("X-Attempt-Id");
		in.readNBytes(head.contentLength());
		int status = (number % 10 == 8) ? 500 : 200;
		answered.put(id, status);
		String body = (status == 200) ? "recorded" : "not recorded";
		String text = "HTTP/1.1 " + ((status == 200) ? "200 OK" : "500 Internal Server Error") + "\r\n" + DATE
				+ "X-Attempt-Id: " + id + "\r\nX-Server-Signature: s." + id + "\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
		// After one of its answers in forty i-1 begins to send it once more, and stops within the second line.
		if (Deployment.TROUBLE && server.equals("i-1") && number % 40 == 7) {
			String extra = text.substring(0, text.indexOf("Date:") + 20);
			deployment.record("server sends after its whole answer to " + id + " also: " + extra.replace("\r\n", " | "));
			text += extra;
		}
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		return true;
	}

}
