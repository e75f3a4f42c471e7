import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/**
 * One of three servers spoils a line in the head of some answers. Judges whether a client gets bytes that are no answer in
 * HTTP/1.1 as a success.
 */
final class SpoiledHead {

	private static final int REQUESTS = 600;

	/** A field of a head: a token, a colon, and visible characters, spaces and tabs (RFC 9112, section 5). */
	private static final Pattern FIELD = Pattern
		.compile("[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[ \\t]*[\\x20-\\x7E\\x80-\\xFF\\t]*");

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 [1-5][0-9][0-9] [\\x20-\\x7E\\x80-\\xFF\\t]*");

	private SpoiledHead() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, SpoiledHead::play);
	}

	private static int play(Deployment deployment) throws Exception {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			AtomicInteger count = new AtomicInteger();
			new Server(deployment, server, "archive-app", "za", 0,
					(head, in, out, socket) -> answer(deployment, server, count.getAndIncrement(), head, in, out));
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
		int broken = 0;
		int sound = 0;
		for (int number = 0; number < REQUESTS; number++) {
			String id = "a" + number;
			String bytes = request(daemon, id);
			String fault = findFault(bytes);
			sound += (fault.isEmpty() && bytes.startsWith("HTTP/1.1 200")) ? 1 : 0;
			boolean success = bytes.startsWith("HTTP/1.1 200") && bytes.contains("X-Server-Signature");
			if (success && !fault.isEmpty()) {
				broken++;
			}
			deployment.record("client " + id + " got " + printable(bytes.split("\r\n\r\n")[0])
					+ ((fault.isEmpty()) ? "" : ", which is no answer: " + printable(fault)));
		}
		deployment.record("MIXED: " + broken + " of " + REQUESTS + " successes were no answers in the protocol; " + sound
				+ " were sound");
		deployment.recordOutputs(5);
		return (broken > 0) ? Case.BROKEN : (sound > 0) ? Case.HELD : Case.COULD_NOT_RUN;
	}

	private static boolean answer(Deployment deployment, String server, int number, Head head, InputStream in,
			OutputStream out) throws IOException {
		String id = head.field("X-Attempt-Id");
		in.readNBytes(head.contentLength());
		String spoiled = "X-Weight-Versions: 1";
		// One answer of i-1 in forty is spoiled, each in another way.
		if (Deployment.TROUBLE && server.equals("i-1") && number % 40 == 7) {
			spoiled = switch (number / 40 % 3) {
				case 0 -> "X-Weight-Versions: 1\u0000\u0007";
				case 1 -> "HTTP/1.1 200 OK";
				default -> "X-Weight-Ver\u0000ions: 1";
			};
			deployment.record("server spoils a line of the head of " + id + ": " + printable(spoiled));
		}
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n" + spoiled + "\r\nX-Server-Signature: s." + id
				+ "\r\nContent-Length: 2\r\n\r\nok")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
		return true;
	}

	private static String request(Deployment.Daemon daemon, String id) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(daemon.callers(), 1_000);
			socket.setSoTimeout(3_000);
			socket.getOutputStream()
				.write(("POST /stamp/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
						+ "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n"
						+ "Connection: close\r\n\r\nab")
					.getBytes(StandardCharsets.US_ASCII));
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			socket.getInputStream().transferTo(bytes);
			return bytes.toString(StandardCharsets.ISO_8859_1);
		}
	}

	/** Returns the first line of a head that HTTP/1.1 does not allow; empty if there is none. */
	private static String findFault(String bytes) {
		int end = bytes.indexOf("\r\n\r\n");
		if (end < 0) {
			return "no end of the head";
		}
		String[] lines = bytes.substring(0, end).split("\r\n", -1);
		if (!STATUS_LINE.matcher(lines[0]).matches()) {
			return lines[0];
		}
		for (int index = 1; index < lines.length; index++) {
			if (!FIELD.matcher(lines[index]).matches()) {
				return lines[index];
			}
		}
		return "";
	}

	private static String printable(String text) {
		StringBuilder result = new StringBuilder();
		for (char next : text.toCharArray()) {
			result.append((next == '\r') ? "" : (next == '\n') ? " | "
					: (next < 0x20 || next > 0x7E) ? String.format("\\x%02X", (int) next) : String.valueOf(next));
		}
		return result.toString();
	}

}
