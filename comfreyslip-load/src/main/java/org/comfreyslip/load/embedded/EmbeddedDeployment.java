package org.comfreyslip.load.embedded;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.daemon.DaemonMain;
import org.comfreyslip.load.scenario.Scenario;
import org.comfreyslip.load.scenario.TargetPlan;
import org.comfreyslip.load.scenario.TopologyPlan;
import org.comfreyslip.standins.FreePorts;
import org.comfreyslip.standins.StandinMain;

/**
 * Daemons and engines as one process each, and one process with all other stand-ins.
 */
public final class EmbeddedDeployment implements AutoCloseable {

	static final String MODEL = "mill-qa";

	static final String SERVICE = "archive";

	private static final String IP = "127.0.0.1";

	private static final int LIMIT_MILLIS = 5_000;

	private static final long READY_SECONDS = 60;

	private static final long POLL_MILLIS = 50;

	private static final String PLATFORM = "platform";

	private final TopologyPlan plan;

	private final Path directory;

	private final HttpTransport http;

	private final List<String> keys;

	private final Map<String, ChildProcess> processes = new ConcurrentHashMap<>();

	private final Map<String, String> addresses = new TreeMap<>();

	private final List<String> endpoints = new ArrayList<>();

	private EmbeddedDeployment(Scenario scenario, Path directory, HttpTransport http) {
		this.plan = scenario.topology();
		this.directory = directory;
		this.http = http;
		this.keys = IntStream.rangeClosed(1, scenario.accounts()).mapToObj((i) -> "load-key-" + i).toList();
	}

	/**
	 * Starts everything and waits until all daemons are ready.
	 * @param scenario the scenario
	 * @param directory where the daemons' settings are written
	 * @param http the HTTP client
	 * @return the running deployment
	 */
	public static EmbeddedDeployment start(Scenario scenario, Path directory, HttpTransport http) {
		EmbeddedDeployment deployment = new EmbeddedDeployment(scenario, directory, http);
		try {
			deployment.start();
			return deployment;
		}
		catch (RuntimeException ex) {
			deployment.close();
			throw ex;
		}
	}

	/**
	 * Returns what the load is sent to.
	 * @return the daemons' addresses, the accounts' keys and the model
	 */
	public TargetPlan target() {
		return new TargetPlan(daemonNames().stream().map(this.addresses::get).toList(), this.keys, MODEL,
				this.plan.layers(), SERVICE);
	}

	/**
	 * Returns the engines' addresses stage by stage.
	 * @return one list per stage
	 */
	public List<List<String>> engineAddresses() {
		Map<Integer, List<String>> stages = new TreeMap<>();
		for (TopologyPlan.PlannedEngine engine : this.plan.engines()) {
			stages.computeIfAbsent(engine.layers().first(), (first) -> new ArrayList<>())
				.add(this.addresses.get(engine.name()));
		}
		return List.copyOf(stages.values());
	}

	/**
	 * Returns the addresses of the plain service.
	 * @return one address per endpoint
	 */
	public List<String> endpointAddresses() {
		return List.copyOf(this.endpoints);
	}

	/**
	 * Finds the address of a stand-in.
	 * @param name its name
	 * @return ip:port, or the name itself if no process has it
	 */
	public String address(String name) {
		return this.addresses.getOrDefault(name, name);
	}

	/**
	 * Ends a process at once.
	 * @param name the engine or daemon
	 */
	public void kill(String name) {
		process(name).close();
	}

	/**
	 * Starts a killed process again at its address.
	 * @param name the engine or daemon
	 */
	public void restart(String name) {
		if (daemonNames().contains(name)) {
			launchDaemon(name);
			return;
		}
		this.plan.engines().stream().filter((engine) -> engine.name().equals(name)).forEach(this::launchEngine);
	}

	/**
	 * Reads the usage of each daemon.
	 * @return the usage by name
	 */
	public Map<String, ProcessUsage> daemonUsage() {
		Map<String, ProcessUsage> usage = new TreeMap<>();
		daemonNames().forEach((name) -> usage.put(name, ProcessUsage.of(process(name).pid())));
		return usage;
	}

	/**
	 * Returns how many lines each daemon has written, to be passed to
	 * {@link #daemonHeapSince}.
	 * @return the count by name
	 */
	public Map<String, Integer> daemonLines() {
		Map<String, Integer> counts = new TreeMap<>();
		daemonNames().forEach((name) -> counts.put(name, process(name).lines().size()));
		return counts;
	}

	/**
	 * Returns the least heap after a garbage collection of each daemon.
	 * @param lines the numbers of lines to leave out
	 * @return megabytes by name, -1 without a collection since then
	 */
	public Map<String, Long> daemonHeapSince(Map<String, Integer> lines) {
		Map<String, Long> heaps = new TreeMap<>();
		daemonNames().forEach((name) -> {
			List<String> all = process(name).lines();
			int from = Math.min(all.size(), lines.getOrDefault(name, 0));
			heaps.put(name, GcLine.leastHeapAfter(all.subList(from, all.size())));
		});
		return heaps;
	}

	@Override
	public void close() {
		this.processes.values().forEach(ChildProcess::close);
	}

	private void start() {
		startPlatform();
		this.plan.engines().forEach(this::launchEngine);
		this.plan.engines().forEach(this::awaitEngine);
		daemonNames().forEach(this::reserveAddresses);
		daemonNames().forEach(this::launchDaemon);
		daemonNames().forEach((name) -> process(name).awaitLines((line) -> line.contains("CS-1001"), 1));
		propose();
		daemonNames().forEach(this::awaitReady);
	}

	private void startPlatform() {
		StringBuilder text = new StringBuilder("log --listen " + IP + ":0 --appends-per-second 500\nhosts --listen "
				+ IP + ":0\nweights --listen " + IP + ":0\n");
		text.append(("service --listen " + IP + ":0 --service-millis " + this.plan.serviceMillis() + "\n")
			.repeat(this.plan.endpoints()));
		Path file = write(PLATFORM + ".txt", text.toString());
		ChildProcess process = ChildProcess.start(StandinMain.class, standinOptions(), List.of("all", file.toString()));
		this.processes.put(PLATFORM, process);
		for (String found : process.awaitLines((line) -> line.contains(" " + IP + ":"), 3 + this.plan.endpoints())) {
			String[] parts = found.strip().split(" ");
			if (parts[0].equals("service")) {
				this.endpoints.add(parts[1]);
				this.addresses.put("service-" + this.endpoints.size(), parts[1]);
			}
			else {
				this.addresses.put(parts[0], parts[1]);
			}
		}
	}

	private void launchEngine(TopologyPlan.PlannedEngine engine) {
		List<String> arguments = List.of("engine", "--listen", this.addresses.getOrDefault(engine.name(), IP + ":0"),
				"--model", MODEL, "--model-version", "1", "--model-layers", Integer.toString(this.plan.layers()),
				"--layers", engine.layers().first() + "-" + engine.layers().end(), "--layer-micros",
				Integer.toString(engine.kind().layerMicros()), "--item-micros",
				Integer.toString(this.plan.itemMicros()), "--max-batch", Integer.toString(this.plan.maxBatch()),
				"--no-passes");
		this.processes.put(engine.name(), ChildProcess.start(StandinMain.class, standinOptions(), arguments));
	}

	private void awaitEngine(TopologyPlan.PlannedEngine engine) {
		String line = process(engine.name()).awaitLines((text) -> text.startsWith("engine " + IP), 1).get(0);
		this.addresses.put(engine.name(), line.substring("engine ".length()).strip());
	}

	private void reserveAddresses(String daemon) {
		this.addresses.put(daemon, IP + ":" + FreePorts.draw());
		this.addresses.put(daemon + "/admin", IP + ":" + FreePorts.draw());
		this.addresses.put(daemon + "/grpc", IP + ":" + FreePorts.draw());
	}

	private void launchDaemon(String name) {
		List<String> peers = daemonNames().stream()
			.filter((other) -> !other.equals(name))
			.map((other) -> this.addresses.get(other + "/grpc"))
			.toList();
		Path file = write(name + ".ini", EmbeddedText.daemonSettings(name, this.addresses, peers));
		List<String> options = List.of("-Xmx" + this.plan.daemonHeapMegabytes() + "m", "-XX:+UseSerialGC", "-Xlog:gc");
		this.processes.put(name, ChildProcess.start(DaemonMain.class, options, List.of("--settings", file.toString())));
	}

	private void propose() {
		String text = EmbeddedText.operatorText(this.plan, this.addresses, this.endpoints, this.keys);
		ConfigRecord.Proposal proposal = ConfigRecord.Proposal.create(UUID.randomUUID().toString().replace("-", ""),
				ConfigVersion.INITIAL, "load", text);
		new LogClient(this.http, this.addresses.get("log"), LIMIT_MILLIS)
			.append("config", ConfigRecordCodec.encode(proposal))
			.join();
	}

	private void awaitReady(String daemon) {
		HttpCall call = HttpCall.get(this.addresses.get(daemon + "/admin"), "/ready").within(LIMIT_MILLIS);
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
		while (System.nanoTime() < end) {
			if (this.http.send(call).handle((reply, ex) -> ex == null && isReady(reply)).join()) {
				return;
			}
			sleep();
		}
		throw new IllegalStateException(daemon + " is not ready: " + process(daemon).lines());
	}

	private static boolean isReady(HttpReply reply) {
		return reply.isSuccess();
	}

	private List<String> daemonNames() {
		return IntStream.rangeClosed(1, this.plan.daemons()).mapToObj((i) -> "daemon-" + i).toList();
	}

	private ChildProcess process(String name) {
		ChildProcess process = this.processes.get(name);
		if (process == null) {
			throw new IllegalArgumentException("no embedded process " + name + "; known: " + this.processes.keySet());
		}
		return process;
	}

	private List<String> standinOptions() {
		return List.of("-Xmx" + this.plan.standinHeapMegabytes() + "m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
	}

	private Path write(String name, String text) {
		try {
			Files.createDirectories(this.directory);
			return Files.writeString(this.directory.resolve(name), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void sleep() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
