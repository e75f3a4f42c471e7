package org.comfreyslip.acceptance;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.awaitility.Awaitility;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.operator.ExitCode;
import org.comfreyslip.operator.OperatorMain;

/**
 * A deployment with two daemons, seen from the operators' desk.
 */
public final class OperatorSite implements AutoCloseable {

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private static final List<String> DAEMONS = List.of("daemon-1", "daemon-2");

	private final Path directory;

	private final Deployment deployment;

	private final Caller caller;

	/**
	 * Starts all processes.
	 */
	public OperatorSite() {
		try {
			this.directory = Files.createTempDirectory("comfreyslip-operators-day");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.deployment = new Deployment(this.directory);
		try {
			this.deployment.start(DAEMONS.size());
		}
		catch (RuntimeException ex) {
			close();
			throw ex;
		}
		this.caller = new Caller(this.deployment.http());
	}

	/**
	 * Returns the names of the daemons that run all the time.
	 * @return the names
	 */
	public List<String> daemons() {
		return DAEMONS;
	}

	/**
	 * Runs the command against the log.
	 * @param arguments the arguments
	 * @return the result
	 */
	public CommandResult run(String... arguments) {
		return start(arguments).orTimeout(LIMIT.toSeconds(), java.util.concurrent.TimeUnit.SECONDS).join();
	}

	/**
	 * Runs the command with the addresses of some daemons.
	 * @param daemons the daemons' names
	 * @param arguments the arguments
	 * @return the result
	 */
	public CommandResult runAt(List<String> daemons, String... arguments) {
		List<String> all = new ArrayList<>(Arrays.asList(arguments));
		daemons.forEach((daemon) -> all.addAll(List.of("--daemon", this.deployment.adminAddress(daemon))));
		return run(all.toArray(String[]::new));
	}

	/**
	 * Starts the command.
	 * @param arguments the arguments
	 * @return the result, when the command has ended
	 */
	public CompletableFuture<CommandResult> start(String... arguments) {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		List<String> line = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx96m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classPath, OperatorMain.class.getName(), "--log",
				this.deployment.address("log")));
		line.addAll(List.of(arguments));
		try {
			Process process = new ProcessBuilder(line).start();
			CompletableFuture<String> err = CompletableFuture.supplyAsync(() -> read(process.getErrorStream()));
			CompletableFuture<String> out = CompletableFuture.supplyAsync(() -> read(process.getInputStream()));
			return process.onExit()
				.thenApply((ended) -> new CommandResult(ExitCode.values()[ended.exitValue()], out.join(), err.join()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Writes a file.
	 * @param name the file's name
	 * @param text its content
	 * @return its path
	 */
	public String write(String name, String text) {
		try {
			return Files.writeString(this.directory.resolve(name), text).toString();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the operator's key file.
	 * @return its path
	 */
	public String keyFile() {
		return write("operator.key", Deployment.OPERATOR_KEY + "\n");
	}

	/**
	 * Asks a daemon.
	 * @param daemon the daemon's name
	 * @param path the path at the operators' address
	 * @return the response
	 */
	public JsonNode admin(String daemon, String path) {
		List<HttpHeader> headers = List.of(new HttpHeader("Authorization", "Bearer " + Deployment.OPERATOR_KEY));
		HttpCall call = new HttpCall(this.deployment.adminAddress(daemon), "GET", path, headers, null, 0, 0,
				() -> true);
		return this.deployment.http().send(call).join().json(JsonNode.class);
	}

	/**
	 * Sends a prompt.
	 * @param daemon the daemon's name
	 * @param prompt the prompt
	 * @return the request's id
	 */
	public String answered(String daemon, String prompt) {
		HttpReply reply = this.caller.complete(this.deployment.address(daemon), prompt, 4, false).join();
		reply.requireSuccess();
		return reply.header("X-Request-Id");
	}

	/**
	 * Starts a service with one endpoint.
	 * @param service the service's name
	 * @return its sections for the operators' text
	 */
	public String startService(String service) {
		String endpoint = service + "-1";
		this.deployment.startStandin(endpoint, "service");
		return "[service " + service + "]\ntimeout-ms = 60000\n\n[endpoint " + endpoint + "]\nservice = " + service
				+ "\naddress = " + this.deployment.address(endpoint) + "\ndata-centre = si-1\n";
	}

	/**
	 * Starts one more daemon and waits until it is ready.
	 * @param daemon the daemon's name
	 */
	public void startDaemon(String daemon) {
		this.deployment.startDaemon(daemon);
		await(daemon, (status) -> status.path("ready").asBoolean());
	}

	/**
	 * Waits for a state of a daemon.
	 * @param daemon the daemon's name
	 * @param test selects the state
	 */
	public void await(String daemon, java.util.function.Predicate<JsonNode> test) {
		Awaitility.await(daemon)
			.atMost(LIMIT)
			.ignoreExceptions()
			.until(() -> test.test(admin(daemon, "/admin/status")));
	}

	/**
	 * Stops the process of a service's endpoint until it is continued. Calls to it stay
	 * open.
	 * @param service the service's name
	 */
	public void pause(String service) {
		this.deployment.process(service + "-1").pause();
	}

	/**
	 * Continues the process of a service's endpoint.
	 * @param service the service's name
	 */
	public void resume(String service) {
		this.deployment.process(service + "-1").resume();
	}

	/**
	 * Sends a call to a service.
	 * @param daemon the daemon's name
	 * @param service the service's name
	 * @param certificate the certificate to stamp
	 * @return the status and the body, or both of an error
	 */
	public CompletableFuture<String> call(String daemon, String service, String certificate) {
		return this.caller
			.send(this.deployment.address(daemon), "POST", "/services/" + service + "/stamps", List.of(),
					JsonCodec.write(java.util.Map.of("certificate", certificate, "inspector", "neza")))
			.thenApply((reply) -> reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8));
	}

	/**
	 * Waits for the end of a daemon.
	 * @param daemon the daemon's name
	 * @return the exit code
	 */
	public int awaitExit(String daemon) {
		return this.deployment.process(daemon).awaitExit(LIMIT.toSeconds());
	}

	/**
	 * Waits for a line in a daemon's log.
	 * @param daemon the daemon's name
	 * @param part a part of the line
	 * @return the line
	 */
	public String awaitLog(String daemon, String part) {
		return this.deployment.process(daemon).awaitLine((line) -> line.contains(part));
	}

	@Override
	public void close() {
		this.deployment.close();
		try (Stream<Path> files = Files.list(this.directory)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
			Files.delete(this.directory);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String read(InputStream stream) {
		try (stream) {
			return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
