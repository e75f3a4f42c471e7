import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Eight daemons in three zones, of which four are killed at the same moment. A configuration that moves a route to
 * another service follows. Judges by which service requests are run that clients send to the others afterwards.
 */
final class LostReaders {

	private static final int CONFIG_APPLY_MS = 2_000;

	private static final int DOWN_MS = 2_000;

	private static final String SERVICES = """
			{"Name":"old-app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false},
			{"Name":"new-app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}""";

	private static final String TENANTS = """
			{"Name":"t-1","ApiKeys":["key1"],"Priority":1}""";

	private LostReaders() {
	}

	private static String route(String service) {
		return """
				{"Name":"r-1","Host":"h.example","PathPrefix":"/stamp/","Kind":"non_idempotent","TimeoutMs":1000,
				"TargetLatencyMs":100,"Priority":1,"Service":"%s","MaxAttempts":1,"Public":false}""".formatted(service);
	}

	public static void main(String[] arguments) {
		Case.run(arguments, LostReaders::play);
	}

	private static int play(Deployment deployment) throws Exception {
		Map<String, String> ranBy = new ConcurrentHashMap<>();
		for (String service : List.of("old-app", "new-app")) {
			for (String zone : List.of("za", "zb", "zc")) {
				new Server(deployment, "i-" + service + "-" + zone, service, zone, 0,
						(head, in, out, socket) -> answer(service, ranBy, head, in, out));
			}
		}
		deployment.publishConfiguration(3, route("old-app"), SERVICES, TENANTS);
		List<Deployment.Daemon> daemons = new ArrayList<>();
		String[] zones = { "za", "za", "za", "zb", "zb", "zb", "zc", "zc" };
		for (int number = 0; number < zones.length; number++) {
			daemons.add(deployment.start(number + 1, zones[number]));
		}
		for (Deployment.Daemon daemon : daemons) {
			if (!daemon.awaitReady(40)) {
				deployment.record(daemon.name() + " was never ready");
				return Case.COULD_NOT_RUN;
			}
		}
		Thread.sleep(8_000);
		List<Deployment.Daemon> killed = new ArrayList<>();
		List<Deployment.Daemon> others = new ArrayList<>();
		choose(daemons, killed, others);
		deployment.record("readers of the store and zone zc, to be killed: "
				+ killed.stream().map(Deployment.Daemon::name).toList());
		if (killed.size() != 4) {
			deployment.record("the daemons that read the store are not known");
			return Case.COULD_NOT_RUN;
		}
		for (int version = 4; version <= 6; version++) {
			deployment.publishConfiguration(version, route("old-app"), SERVICES, TENANTS);
			Thread.sleep(300);
		}
		if (Deployment.TROUBLE) {
			for (Deployment.Daemon daemon : killed) {
				daemon.process().destroyForcibly();
			}
			deployment.record("killed " + killed.size() + " of " + daemons.size());
			Thread restart = new Thread(() -> startAgain(deployment, daemons, killed, zones));
			restart.start();
		}
		Thread.sleep(100);
		deployment.publishConfiguration(7, route("new-app"), SERVICES, TENANTS);
		long ack = System.nanoTime();
		AtomicInteger wrong = new AtomicInteger();
		AtomicInteger right = new AtomicInteger();
		List<Thread> threads = new ArrayList<>();
		for (Deployment.Daemon daemon : others) {
			Thread thread = new Thread(() -> ask(deployment, daemon, ack, ranBy, wrong, right));
			thread.start();
			threads.add(thread);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		deployment.record("CONFIG: later than " + CONFIG_APPLY_MS + " ms after the ack " + wrong
				+ " requests were run by the old service and " + right + " by the new one");
		deployment.recordOutputs(6);
		return (wrong.get() > 0) ? Case.BROKEN : (right.get() > 0) ? Case.HELD : Case.COULD_NOT_RUN;
	}

	private static void startAgain(Deployment deployment, List<Deployment.Daemon> daemons,
			List<Deployment.Daemon> killed, String[] zones) {
		try {
			Thread.sleep(DOWN_MS);
			for (Deployment.Daemon daemon : killed) {
				int index = daemons.indexOf(daemon);
				deployment.start(index + 1, zones[index]);
			}
		}
		catch (IOException ex) {
			deployment.record("a daemon could not be started again: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Kills both daemons of the zone of two and the daemons that read the store for the other zones.
	private static void choose(List<Deployment.Daemon> daemons, List<Deployment.Daemon> killed,
			List<Deployment.Daemon> others) throws IOException {
		for (Deployment.Daemon daemon : daemons) {
			boolean reads = true;
			for (String line : Files.readAllLines(daemon.output())) {
				if (line.contains("STORE_READING")) {
					reads = line.contains("reads=true");
				}
			}
			((reads || daemon.name().contains("-zc-")) ? killed : others).add(daemon);
		}
	}

	private static boolean answer(String service, Map<String, String> ranBy, Head head, InputStream in,
			OutputStream out) throws IOException {
		String id = head.field("X-Attempt-Id");
		in.readNBytes(head.contentLength());
		ranBy.put(id, service);
		out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Signature: s." + id
				+ "\r\nContent-Length: 2\r\n\r\nok")
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		return true;
	}

	private static void ask(Deployment deployment, Deployment.Daemon daemon, long ack, Map<String, String> ranBy,
			AtomicInteger wrong, AtomicInteger right) {
		try (Client client = new Client(daemon.callers())) {
			for (int number = 0; number < 100; number++) {
				String id = daemon.name() + "-" + number;
				long sent = System.nanoTime();
				int status = client.send("POST", "/stamp/x", id, 1_000);
				long sinceMs = (sent - ack) / 1_000_000;
				String service = ranBy.getOrDefault(id, "none");
				deployment.record(id + " sent " + sinceMs + " ms after the ack: " + status + ", run by " + service);
				if (sinceMs > CONFIG_APPLY_MS) {
					((service.equals("old-app")) ? wrong : right).incrementAndGet();
				}
				Thread.sleep(50);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
