package org.comfreyslip.acceptance;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.daemon.DaemonMain;
import org.comfreyslip.standins.FreePorts;
import org.comfreyslip.standins.StandinMain;

/**
 * Daemons, engines, services and the platform's stand-ins as separate processes: three
 * stages of a model with 12 layers, two engines of different kinds for each, and a plain
 * service with two endpoints.
 */
final class Deployment implements AutoCloseable {

	static final int LAYERS = 12;

	static final String MODEL = "mill-qa";

	static final String KEY = "gate-key";

	static final String OPERATOR_KEY = "operator-key";

	private static final String IP = "127.0.0.1";

	private static final int LIMIT_MILLIS = 5_000;

	private final Map<String, JavaProcess> processes = new ConcurrentHashMap<>();

	private final Map<String, String> addresses = new ConcurrentHashMap<>();

	private final List<String> daemons = new ArrayList<>();

	private final HttpTransport http = new HttpTransport();

	private final Path directory;

	private ConfigVersion version = ConfigVersion.INITIAL;

	Deployment(Path directory) {
		this.directory = directory;
	}

	/**
	 * Starts everything and puts the first configuration into force.
	 * @param daemonCount the number of daemons
	 * @return this deployment
	 */
	Deployment start(int daemonCount) {
		try {
			startAll(daemonCount);
			return this;
		}
		catch (RuntimeException ex) {
			// Otherwise the processes outlive a test whose set-up failed.
			close();
			throw ex;
		}
	}

	private void startAll(int daemonCount) {
		List<Runnable> starts = new ArrayList<>();
		starts.add(() -> startStandin("log", "log"));
		starts.add(() -> startStandin("hosts", "hosts", "--lag-millis", "200"));
		starts.add(() -> startStandin("weights", "weights"));
		starts.add(() -> startStandin("archive-1", "service", "--service-millis", "5"));
		starts.add(() -> startStandin("archive-2", "service", "--service-millis", "5"));
		for (String range : List.of("0-4", "4-8", "8-12")) {
			for (String kind : List.of("fast", "slow")) {
				starts.add(() -> startEngine(engineName(range, kind), range, kind));
			}
		}
		inParallel(starts);
		List<Runnable> daemonStarts = new ArrayList<>();
		for (int i = 1; i <= daemonCount; i++) {
			String name = "daemon-" + i;
			assignPorts(name);
			daemonStarts.add(() -> startDaemon(name));
		}
		inParallel(daemonStarts);
		propose(text());
		awaitReady();
	}

	static String engineName(String range, String kind) {
		return "engine-" + range + "-" + kind;
	}

	JavaProcess process(String name) {
		return this.processes.get(name);
	}

	String address(String name) {
		return this.addresses.get(name);
	}

	String adminAddress(String daemon) {
		return this.addresses.get(daemon + "/admin");
	}

	HttpTransport http() {
		return this.http;
	}

	List<String> daemons() {
		return List.copyOf(this.daemons);
	}

	/**
	 * Switches a fault of a stand-in on.
	 * @param name the stand-in
	 * @param mode the fault's mode
	 * @param millis how long it lasts
	 */
	void fault(String name, String mode, long millis) {
		fault(name, Map.of("mode", mode, "forMillis", millis, "probability", 1.0, "delayMillis", 0));
	}

	/**
	 * Switches a fault of a stand-in on.
	 * @param name the stand-in
	 * @param order the fault as in {@code docs/stand-ins.md}
	 */
	void fault(String name, Map<String, Object> order) {
		HttpReply reply = this.http.send(HttpCall.post(address(name), "/faults", order)).join();
		if (!reply.isSuccess()) {
			throw new IllegalStateException("fault refused: " + new String(reply.body()));
		}
	}

	void startEngine(String name, String range, String kind) {
		startStandin(name, "engine", "--model", MODEL, "--model-version", "1", "--model-layers",
				Integer.toString(LAYERS), "--layers", range, "--layer-micros", kind.equals("fast") ? "100" : "300");
	}

	void startStandin(String name, String kind, String... options) {
		String known = this.addresses.get(name);
		List<String> arguments = new ArrayList<>(List.of(kind, "--listen", (known != null) ? known : IP + ":0"));
		arguments.addAll(List.of(options));
		JavaProcess process = JavaProcess.start(StandinMain.class, arguments.toArray(String[]::new));
		String line = process.awaitLine((text) -> text.startsWith(kind + " " + IP));
		this.processes.put(name, process);
		this.addresses.put(name, line.substring(line.indexOf(' ') + 1).trim());
	}

	void startDaemon(String name) {
		assignPorts(name);
		Path file = this.directory.resolve(name + ".ini");
		try {
			Files.writeString(file, settings(name));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		JavaProcess process = JavaProcess.start(DaemonMain.class, "--settings", file.toString());
		process.awaitLine((text) -> text.contains("CS-1001"));
		this.processes.put(name, process);
	}

	private void assignPorts(String name) {
		if (!this.daemons.contains(name)) {
			this.daemons.add(name);
			this.addresses.put(name, IP + ":" + FreePorts.draw());
			this.addresses.put(name + "/admin", IP + ":" + FreePorts.draw());
			this.addresses.put(name + "/grpc", IP + ":" + FreePorts.draw());
		}
	}

	private static void inParallel(List<Runnable> tasks) {
		tasks.stream().map(CompletableFuture::runAsync).toList().forEach(CompletableFuture::join);
	}

	/**
	 * Proposes a text on top of the version that this deployment proposed last.
	 * @param text the text
	 */
	void propose(String text) {
		ConfigRecord.Proposal proposal = ConfigRecord.Proposal.create(UUID.randomUUID().toString().replace("-", ""),
				this.version, "ada", text);
		long offset = new LogClient(this.http, address("log"), LIMIT_MILLIS)
			.append("config", ConfigRecordCodec.encode(proposal))
			.join();
		this.version = new ConfigVersion(this.version.number() + 1, offset, proposal.textDigest());
	}

	void awaitReady() {
		for (String daemon : this.daemons) {
			org.awaitility.Awaitility.await(daemon)
				.atMost(java.time.Duration.ofSeconds(30))
				.ignoreExceptions()
				.until(() -> this.http.send(HttpCall.get(adminAddress(daemon), "/ready")).join().status() == 200);
		}
	}

	String text() {
		StringBuilder text = new StringBuilder("[comfreyslip]\nformat = 1\n\n[model " + MODEL + "]\nlayers = " + LAYERS
				+ "\nversion = 1\n\n[kind fast]\nlayer-micros = 100\n\n[kind slow]\nlayer-micros = 300\n\n");
		for (String range : List.of("0-4", "4-8", "8-12")) {
			for (String kind : List.of("fast", "slow")) {
				String name = engineName(range, kind);
				text.append("[engine " + name + "]\naddress = " + address(name) + "\ndata-centre = si-1\nkind = " + kind
						+ "\nmodel = " + MODEL + "\nlayers = " + range + "\nfencing = checked\n\n");
			}
		}
		text.append("[service archive]\nprotected = POST /stamps\nlookup = /stamps/by-key/{key}\n"
				+ "refusal-statuses = 503\n" + "timeout-ms = 5000\n\n");
		for (String name : List.of("archive-1", "archive-2")) {
			text.append("[endpoint " + name + "]\nservice = archive\naddress = " + address(name)
					+ "\ndata-centre = si-1\n\n");
		}
		text.append("[account gate]\ncredential-sha256 = " + sha256(KEY) + "\nmax-concurrent = 1000\n\n");
		text.append("[operator ada]\ncredential-sha256 = " + sha256(OPERATOR_KEY) + "\n");
		return text.toString();
	}

	@Override
	public void close() {
		this.processes.values().forEach(JavaProcess::close);
		this.http.close();
	}

	private String settings(String name) {
		StringBuilder peers = new StringBuilder();
		for (String daemon : this.daemons) {
			if (!daemon.equals(name)) {
				peers.append((peers.length() > 0) ? ", " : "").append(address(daemon + "/grpc"));
			}
		}
		return "[daemon]\nname = " + name + "\ndata-centre = si-1\nregion = si-central\nhttp-listen = " + address(name)
				+ "\ngrpc-listen = " + address(name + "/grpc") + "\nadmin-listen = " + adminAddress(name) + "\n"
				+ ((peers.length() > 0) ? "peers = " + peers + "\n" : "")
				+ "balancer-lag-ms = 500\ndrain-deadline-ms = 60000\n\n[platform]\nlog = " + address("log")
				+ "\nhost-list = " + address("hosts") + "\nweight-store = " + address("weights") + "\n";
	}

	private static String sha256(String text) {
		try {
			byte[] digest = java.security.MessageDigest.getInstance("SHA-256")
				.digest(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
			return java.util.HexFormat.of().formatHex(digest);
		}
		catch (java.security.NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
