import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: the store, servers that write their registrations, and daemons that
 * the command of the deploy file starts as processes.
 */
final class Deployment implements AutoCloseable {

	static final String HOST = "records.example";

	private static final long HEARTBEAT_MS = 1_200;

	final Store store = new Store();

	private final Path folder;

	private final List<Daemon> daemons = new CopyOnWriteArrayList<>();

	private final Map<String, Registration> registrations = new ConcurrentHashMap<>();

	private volatile boolean closed;

	Deployment(Path folder) throws IOException {
		this.folder = folder;
		startThread("heartbeats", this::writeHeartbeats);
		Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
	}

	static Thread startThread(String name, Runnable task) {
		Thread thread = new Thread(null, task, name, 256 << 10);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Writes the configuration; the lists hold JSON objects. */
	void configure(int version, String routes, String services) {
		this.store.put("keyed.op", "config", "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":["
				+ services + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
				+ "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
	}

	static String route(String name, String prefix, String kind, String service, int timeoutMs, int attempts,
			String more) {
		return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\""
				+ kind + "\",\"TimeoutMs\":" + timeoutMs + ",\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\""
				+ service + "\",\"MaxAttempts\":" + attempts + ",\"Public\":true" + more + "}";
	}

	static String service(String name) {
		return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\","
				+ "\"Tls\":false}";
	}

	/** A service of engines with 8 layers. */
	static String engineService(String name) {
		return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":978,\"Protocol\":\"h1\","
				+ "\"Tls\":false,\"Engine\":{\"Slots\":134,\"KvCapacity\":69791,\"KvTokenBytes\":845373,"
				+ "\"LinkMbps\":480000,\"Stride\":2,\"Models\":[{\"Name\":\"m\",\"pace\":1.0,\"LoadS\":14.0}],"
				+ "\"step_ms\":0.85,\"per_seq_ms\":0.0055,\"context_per_k\":0.0073,\"read_per_s\":196000,"
				+ "\"chunk\":512,\"report_lag_ms\":200,\"usual\":{\"prompt\":100,\"answer\":20},\"Layers\":8,"
				+ "\"LayerMb\":1750.0,\"ActivationBytes\":42268,\"PipeMbps\":13000,\"Kinds\":[{\"Name\":\"h100\","
				+ "\"SizeMb\":72000.0,\"pace\":1.4,\"ReadFactor\":1.0}]}}";
	}

	/** Registers an engine that holds all layers. */
	void registerEngine(Server server, String service) {
		register(server, service, ",\"Kind\":\"h100\",\"Stage\":\"unified\",\"Models\":[{\"Name\":\"m\","
				+ "\"Version\":1,\"Adapters\":[]}],\"Layers\":[{\"From\":0,\"To\":8,\"Version\":1}]");
	}

	void register(Server server, String service, String more) {
		Registration added = new Registration(server, service, more);
		this.registrations.put(server.id, added);
		added.write(this.store);
	}

	/** Writes the registration of a server again. */
	void beat(String id) {
		this.registrations.get(id).write(this.store);
	}

	private void writeHeartbeats() {
		while (!this.closed) {
			sleep(HEARTBEAT_MS);
			this.registrations.values().forEach((one) -> one.write(this.store));
		}
	}

	/** Starts a daemon and waits until it is ready. */
	Daemon startDaemon(String name, String zone) throws IOException {
		return startDaemon(name, zone, this.store.address());
	}

	/** Starts a daemon that reaches the store at an address, and waits until it is ready. */
	Daemon startDaemon(String name, String zone, String storeAddress) throws IOException {
		String ip = "127.0.0." + (10 + this.daemons.size());
		Daemon daemon = new Daemon(name, zone, ip, storeAddress);
		this.daemons.add(daemon);
		daemon.start();
		return daemon;
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	private void endProcesses() {
		for (Daemon daemon : List.copyOf(this.daemons)) {
			daemon.kill();
		}
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		endProcesses();
		for (Registration one : this.registrations.values()) {
			one.server().close();
		}
		this.store.close();
	}

	private record Registration(Server server, String service, String more, int[] sequence) {

		Registration(Server server, String service, String more) {
			this(server, service, more, new int[1]);
		}

		synchronized void write(Store store) {
			store.put("keyed.servers", this.server.id, "{\"Service\":\"" + this.service + "\",\"Address\":\""
					+ this.server.address() + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\","
					+ "\"ColdRemainingMs\":0,\"born\":" + this.server.born + ",\"Sequence\":" + (++this.sequence[0])
					+ this.more + "}");
		}

	}

	/** A daemon as a process of its own. */
	final class Daemon {

		final String name;

		final InetSocketAddress callers;

		private final int readyPort;

		private final String ip;

		private final Path settings;

		private Process process;

		Daemon(String name, String zone, String ip, String storeAddress) throws IOException {
			this.name = name;
			this.ip = ip;
			this.callers = new InetSocketAddress(ip, freePort(ip));
			this.readyPort = freePort(ip);
			int peerPort = freePort(ip);
			this.settings = Deployment.this.folder.resolve(name + ".json");
			Files.writeString(this.settings, "{\"NodeName\":\"" + name + "\",\"Role\":\"entry\",\"MachineClass\":\"edge\","
					+ "\"Serves\":[\"edge\"],\"Ip\":\"" + ip + "\",\"Zone\":\"" + zone + "\",\"Region\":\"region\",\"Listen\":{"
					+ "\"Frontend\":\"" + ip + ":" + this.callers.getPort() + "\",\"Ready\":\"" + ip + ":" + this.readyPort
					+ "\"},\"InternalPortRange\":[" + peerPort + "," + (peerPort + 15) + "],\"SeedNodes\":[],"
					+ "\"Bootstrap\":true,\"HeartbeatMs\":1200,\"Bounds\":{\"ContactMs\":3000,\"DrainMs\":2000,\"GraceS\":8,"
					+ "\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"StrictRevocation\":true,\"RevokeMs\":5000,"
					+ "\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":200,\"RecoveryS\":12,\"FencingEnforced\":true},"
					+ "\"Platform\":{\"Address\":\"" + storeAddress + "\",\"form\":\"log\"}}");
		}

		void start() throws IOException {
			List<String> command = new ArrayList<>(Arrays.asList(deployedCommand().split(" ")));
			ProcessBuilder builder = new ProcessBuilder(command);
			Map<String, String> environment = builder.environment();
			environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			environment.put("COMFREYSLIP_NODE_FILE", this.settings.toString());
			Path log = Deployment.this.folder.resolve(this.name + ".log");
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
			this.process = builder.start();
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
			while (!isReady()) {
				if (System.nanoTime() > end) {
					throw new IOException("daemon " + this.name + " is not ready; its log is " + log);
				}
				sleep(100);
			}
		}

		boolean isReady() {
			try {
				HttpURLConnection connection = (HttpURLConnection) new URL(
						"http://" + this.ip + ":" + this.readyPort + "/api/readyz")
					.openConnection();
				connection.setConnectTimeout(500);
				connection.setReadTimeout(1_000);
				return connection.getResponseCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		boolean isAlive() {
			return this.process.isAlive();
		}

		long pid() {
			return this.process.pid();
		}

		void signal(String name) throws IOException {
			try {
				new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		void kill() {
			if (this.process != null) {
				this.process.destroyForcibly();
			}
		}

	}

	private static String deployedCommand() throws IOException {
		Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!matcher.find()) {
			throw new IOException("deploy/system.toml names no command");
		}
		return matcher.group(1);
	}

}
