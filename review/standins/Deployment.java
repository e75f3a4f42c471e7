import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Daemons of this project as separate processes, the store's stand-in and the record of a case. */
final class Deployment implements AutoCloseable {

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	final Store store = new Store();

	final List<Daemon> daemons = new ArrayList<>();

	private final long startNanos = System.nanoTime();

	private final PrintWriter record;

	private final Path folder;

	private final int network = 16 + new Random().nextInt(200);

	private final int subnet = 1 + new Random().nextInt(250);

	Deployment(Path recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.folder = Files.createTempDirectory("comfreyslip-review");
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
		record("trouble " + TROUBLE);
	}

	synchronized void record(String line) {
		this.record.println(String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - this.startNanos) / 1e9, line));
	}

	/** Returns a loopback address of its own for each number. */
	String ip(int number) {
		return "127." + this.network + "." + this.subnet + "." + number;
	}

	/** Starts a daemon with the command of the deploy file. */
	Daemon start(int number, String zone) throws IOException {
		String name = "edge-" + zone + "-" + number;
		String ip = ip(number);
		for (int port : new int[] { 8227, 8220, 7340, 9464 }) {
			try (ServerSocket probe = new ServerSocket()) {
				probe.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
			}
		}
		int storePort = this.store.openPort();
		Path settings = this.folder.resolve(name + ".json");
		Files.writeString(settings, """
				{"NodeName":"%s","Role":"entry","MachineClass":"edge","Serves":["edge"],"Ip":"%s","Zone":"%s",
				"Region":"r","Zones":{"za":"r","zb":"r","zc":"r"},
				"Listen":{"Frontend":"%s:8227","Ready":"%s:8220"},"InternalPortRange":[7340,7355],"SeedNodes":[],
				"Bootstrap":true,"LossCounts":false,
				"Limits":{"CpuShare":0.75,"CpuCores":1,"MemoryMb":430,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0},
				"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
				"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform",
				"layers"],"FaultTolerance":{"Machines":2,"Zones":0,"Regions":0},
				"Bounds":{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckTimeoutMs":4000,"CatchUpS":4,
				"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,
				"MaxSkewMs":5000,"StrictRevocation":true,"RevokeMs":5000,"RetryRatio":0.2,"RetryWindowS":10,
				"RetrySlack":200,"RecoveryS":12,"PassMs":120,"RetryAfterS":0,"stall_ms":3000,"FencingEnforced":true},
				"Platform":{"Address":"%s","form":"log","WritesPerS":400,"ReadsPerS":2000,"parts":12,"AppendMs":2.0,
				"PartitionMbS":20.0,"ReadMbS":80.0,"RecordBytes":262144,"CallBytes":2097152,"keep_s":300,
				"PartitionMb":200,"TtlMinMs":1000}}
				""".formatted(name, ip, zone, ip, ip, "127.0.0.1:" + storePort));
		Path output = this.folder.resolve(name + ".log");
		ProcessBuilder builder = new ProcessBuilder(command()).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("COMFREYSLIP_NODE_FILE", settings.toString());
		Daemon daemon = new Daemon(name, ip, storePort, builder.start(), output);
		this.daemons.add(daemon);
		record("started " + name + " pid " + daemon.process.pid());
		return daemon;
	}

	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("deploy/system.toml has no run line");
	}

	void publishConfiguration(int version, String routes, String services, String tenants) {
		this.store.put("keyed.op", "config", "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":["
				+ services
				+ "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
				+ "\"IdleTimeoutMs\":15000},\"Tenants\":[" + tenants + "]}");
		record("configuration " + version + " acknowledged");
	}

	/** Copies the last lines of each daemon's output to the record. */
	void recordOutputs(int lines) {
		for (Daemon daemon : this.daemons) {
			try {
				List<String> all = Files.readAllLines(daemon.output, StandardCharsets.UTF_8);
				all.subList(Math.max(0, all.size() - lines), all.size())
					.forEach((line) -> record(daemon.name + " wrote " + line));
			}
			catch (IOException ex) {
				record("no output of " + daemon.name);
			}
		}
	}

	private void end() {
		for (Daemon daemon : this.daemons) {
			daemon.process.destroyForcibly();
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// The folder is gone.
		}
	}

	@Override
	public void close() throws IOException {
		end();
		this.store.close();
		this.record.close();
	}

	record Daemon(String name, String ip, int storePort, Process process, Path output) {

		InetSocketAddress callers() {
			return new InetSocketAddress(this.ip, 8227);
		}

		/** Sends a signal to the daemon's process. */
		void signal(String signal) throws IOException, InterruptedException {
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
		}

		boolean isReady() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(this.ip, 8220), 1_000);
				socket.setSoTimeout(1_000);
				socket.getOutputStream()
					.write("GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
						.getBytes(StandardCharsets.US_ASCII));
				Head head = Head.read(socket.getInputStream());
				return head != null && head.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		/** Waits until the daemon says that it is ready. */
		boolean awaitReady(int seconds) throws InterruptedException {
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
			while (System.nanoTime() < end) {
				if (isReady()) {
					return true;
				}
				Thread.sleep(100);
			}
			return false;
		}

	}

}
