package org.comfreyslip.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.UUID;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.settings.DaemonSettings;
import org.comfreyslip.standins.FreePorts;
import org.comfreyslip.standins.StandinKind;
import org.comfreyslip.standins.StandinServer;

/**
 * One daemon with a model on one engine, a plain service and the platform's stand-ins,
 * all in the JVM of the test.
 */
public final class InProcessDeployment implements AutoCloseable {

	/** The model's name. */
	public static final String MODEL = "mill-qa";

	/** The key of the only client account. */
	public static final String KEY = "gate-key";

	private static final String IP = "127.0.0.1";

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final long MAX_WAIT_NANOS = Duration.ofSeconds(30).toNanos();

	private static final long POLL_MILLIS = 20;

	private final List<StandinServer> standins = new ArrayList<>();

	private final HttpTransport http = new HttpTransport();

	private final String callerAddress = IP + ":" + FreePorts.draw();

	private final String adminAddress = IP + ":" + FreePorts.draw();

	private final StandinServer log = standin(StandinKind.LOG);

	private final StandinServer engine = standin(StandinKind.ENGINE, "--model", MODEL, "--model-layers", "4",
			"--layers", "0-4", "--layer-micros", "2000");

	private final StandinServer service = standin(StandinKind.SERVICE, "--service-millis", "5");

	private final Daemon daemon;

	/**
	 * Starts the deployment.
	 * @param tls the section {@code [tls]} of the daemon's settings, or an empty text
	 */
	public InProcessDeployment(String tls) {
		String settings = "[daemon]\nname = daemon-1\ndata-centre = si-1\nregion = si-central\nhttp-listen = "
				+ this.callerAddress + "\ngrpc-listen = " + IP + ":" + FreePorts.draw() + "\nadmin-listen = "
				+ this.adminAddress + "\n\n[platform]\nlog = " + this.log.address() + "\nhost-list = "
				+ standin(StandinKind.HOSTS).address() + "\nweight-store = " + standin(StandinKind.WEIGHTS).address()
				+ "\n\n" + tls;
		this.daemon = new Daemon(DaemonSettings.parse("daemon.ini", settings));
		propose();
	}

	/**
	 * Returns the address of the callers' listener.
	 * @return ip:port
	 */
	public String callerAddress() {
		return this.callerAddress;
	}

	/**
	 * Returns the address of the operators' listener.
	 * @return ip:port
	 */
	public String adminAddress() {
		return this.adminAddress;
	}

	/**
	 * Returns the client for plain HTTP.
	 * @return the client
	 */
	public HttpTransport http() {
		return this.http;
	}

	/**
	 * Waits until the daemon is ready over plain HTTP.
	 */
	public void awaitReady() {
		await("the daemon is ready",
				() -> this.http.send(HttpCall.get(this.adminAddress, "/ready")).join().status() == 200);
	}

	/**
	 * Counts the open requests of the daemon, the outstanding requests of its endpoints
	 * and the queued and running streams of the engine.
	 * @return the sum, 0 if nothing is open
	 */
	public int openCount() {
		JsonNode status = json(this.adminAddress, "/admin/status");
		int sum = status.path("open_requests").asInt(-1);
		for (JsonNode endpoint : status.path("endpoints")) {
			sum += endpoint.path("outstanding").asInt();
		}
		JsonNode load = json(this.engine.address(), "/v1/load");
		return sum + load.path("queued").asInt(-1) + load.path("running").asInt(-1);
	}

	/**
	 * Returns how many stamps the service has recorded.
	 * @return the number of stamps
	 */
	public int stampCount() {
		return json(this.service.address(), "/records").path("records").size();
	}

	/**
	 * Waits until no request and no stream is open.
	 */
	public void awaitIdle() {
		await("nothing is open", () -> openCount() == 0);
	}

	/**
	 * Waits for a condition.
	 * @param what the condition in words, for the error message
	 * @param condition the condition; an exception counts as not met
	 */
	public static void await(String what, BooleanSupplier condition) {
		long end = System.nanoTime() + MAX_WAIT_NANOS;
		while (!holds(condition)) {
			if (System.nanoTime() - end > 0) {
				throw new AssertionError("not reached: " + what);
			}
			try {
				Thread.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	@Override
	public void close() {
		this.daemon.close();
		this.standins.forEach(StandinServer::close);
		this.http.close();
	}

	private static boolean holds(BooleanSupplier condition) {
		try {
			return condition.getAsBoolean();
		}
		catch (RuntimeException ex) {
			return false;
		}
	}

	private JsonNode json(String address, String path) {
		HttpReply reply = this.http.send(HttpCall.get(address, path)).join();
		return reply.json(JsonNode.class);
	}

	private StandinServer standin(StandinKind kind, String... options) {
		StandinServer server = StandinServer.start(kind, options);
		this.standins.add(server);
		return server;
	}

	private void propose() {
		String text = "[comfreyslip]\nformat = 1\n\n[model " + MODEL + "]\nlayers = 4\nversion = 1\n\n"
				+ "[kind fast]\nlayer-micros = 2000\n\n[engine engine-1]\naddress = " + this.engine.address()
				+ "\ndata-centre = si-1\nkind = fast\nmodel = " + MODEL
				+ "\nlayers = 0-4\nfencing = checked\n\n[service archive]\nprotected = POST /stamps\n"
				+ "lookup = /stamps/by-key/{key}\ntimeout-ms = 5000\n\n[endpoint archive-1]\nservice = archive\n"
				+ "address = " + this.service.address() + "\ndata-centre = si-1\n\n"
				+ "[account gate]\ncredential-sha256 = " + sha256(KEY) + "\nmax-concurrent = 100\n";
		ConfigRecord.Proposal proposal = ConfigRecord.Proposal.create(UUID.randomUUID().toString().replace("-", ""),
				ConfigVersion.INITIAL, "ada", text);
		new LogClient(this.http, this.log.address(), TIMEOUT_MILLIS)
			.append("config", ConfigRecordCodec.encode(proposal))
			.join();
	}

	private static String sha256(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
