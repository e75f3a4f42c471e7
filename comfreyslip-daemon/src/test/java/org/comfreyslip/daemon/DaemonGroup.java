package org.comfreyslip.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.awaitility.Awaitility;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.log.LogRecord;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.coordination.digest.Sha256;
import org.comfreyslip.settings.DaemonSettings;
import org.comfreyslip.standins.StandinKind;
import org.comfreyslip.standins.StandinServer;

/**
 * Starts several daemons in the JVM of the test, with stand-ins for the log, the host
 * list and the weight store.
 */
public final class DaemonGroup implements AutoCloseable {

	/** Bearer key of the client account. */
	public static final String KEY = "gate-key";

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final int OK = 200;

	private static final int BIND_ATTEMPTS = 5;

	private final Map<String, Daemon> daemons = new HashMap<>();

	private final Map<String, String> adminAddresses = new HashMap<>();

	private final Map<String, String> callerAddresses = new HashMap<>();

	private final HttpTransport http = new HttpTransport();

	private final StandinServer log;

	private final StandinServer hosts = StandinServer.start(StandinKind.HOSTS);

	private final StandinServer weights = StandinServer.start(StandinKind.WEIGHTS);

	private ConfigVersion version = ConfigVersion.INITIAL;

	/**
	 * Starts the stand-ins, and no daemon yet.
	 * @param logOptions the options of the log stand-in
	 */
	public DaemonGroup(String... logOptions) {
		this.log = StandinServer.start(StandinKind.LOG, logOptions);
	}

	/**
	 * Starts a daemon that uses the log of this group.
	 * @param name the daemon's name
	 * @param peers the addresses of its peers, as ip:port
	 * @return the daemon, closed with the group
	 */
	public Daemon start(String name, String... peers) {
		return startWithLog(name, this.log.address(), peers);
	}

	/**
	 * Starts a daemon with another log, to simulate a daemon that cannot reach the log.
	 * @param name the daemon's name
	 * @param logAddress the address of the log, as ip:port
	 * @param peers the addresses of its peers, as ip:port
	 * @return the daemon, closed with the group
	 */
	public Daemon startWithLog(String name, String logAddress, String... peers) {
		for (int attempt = 1;; attempt++) {
			this.adminAddresses.put(name, freeAddress());
			this.callerAddresses.put(name, freeAddress());
			try {
				Daemon daemon = new Daemon(DaemonSettings.parse(name, settings(name, logAddress, peers)));
				this.daemons.put(name, daemon);
				return daemon;
			}
			catch (Exception ex) {
				// An outgoing connection may have taken the port since it was found free.
				// The server throws a checked BindException that it does not declare.
				if (attempt == BIND_ATTEMPTS) {
					throw ex;
				}
			}
		}
	}

	private String settings(String name, String logAddress, String... peers) {
		return "[daemon]\nname = " + name + "\ndata-centre = si-1\nregion = si-central\nhttp-listen = "
				+ this.callerAddresses.get(name) + "\ngrpc-listen = 127.0.0.1:0\nadmin-listen = "
				+ this.adminAddresses.get(name) + "\n"
				+ ((peers.length > 0) ? "peers = " + String.join(", ", peers) + "\n" : "") + "[platform]\nlog = "
				+ logAddress + "\nhost-list = " + this.hosts.address() + "\nweight-store = " + this.weights.address()
				+ "\n";
	}

	public void stop(String name) {
		this.daemons.remove(name).close();
	}

	public StandinServer log() {
		return this.log;
	}

	/**
	 * Appends a proposal to the configuration stream, based on the last proposed version.
	 * @param text the text of the configuration
	 * @return the id of the proposal
	 */
	public String propose(String text) {
		ConfigRecord.Proposal proposal = ConfigRecord.Proposal.create(UUID.randomUUID().toString().replace("-", ""),
				this.version, "ada", text);
		long offset = append("config", ConfigRecordCodec.encode(proposal));
		this.version = new ConfigVersion(this.version.number() + 1, offset, proposal.textDigest());
		return proposal.id();
	}

	/**
	 * Appends a record to a stream of the log.
	 * @param stream the name of the stream
	 * @param bytes the record
	 * @return the offset of the record
	 */
	public long append(String stream, byte[] bytes) {
		return client().append(stream, bytes).join();
	}

	public List<LogRecord> read(String stream) {
		return client().read(stream, 0, 500, 0).join().records();
	}

	/**
	 * Sends a GET request to the operators' listener of a daemon.
	 * @param daemon the daemon's name
	 * @param path the path
	 * @return the response
	 */
	public HttpReply getFromAdmin(String daemon, String path) {
		return this.http.send(HttpCall.get(this.adminAddresses.get(daemon), path)).join();
	}

	public String callerAddress(String daemon) {
		return this.callerAddresses.get(daemon);
	}

	public HttpTransport http() {
		return this.http;
	}

	/**
	 * Waits until a daemon is ready with a version of the configuration.
	 * @param daemon the daemon's name
	 * @param number the number of the version
	 */
	public void awaitVersion(String daemon, long number) {
		await().until(() -> getFromAdmin(daemon, "/ready").status() == OK
				&& new String(getFromAdmin(daemon, "/admin/status").body())
					.contains("\"config\":{\"number\":" + number + ","));
	}

	public static String configText(int modelVersion) {
		return configText(modelVersion, "127.0.0.1:1");
	}

	/**
	 * Returns a configuration with one model and one service.
	 * @param modelVersion the version of the model
	 * @param engines the addresses of the engines, each of which holds all layers
	 * @return the text
	 */
	public static String configText(int modelVersion, String... engines) {
		StringBuilder text = new StringBuilder("[comfreyslip]\nformat = 1\n[model mill-qa]\nlayers = 4\nversion = "
				+ modelVersion + "\nadapters = stamps\n[kind fast]\nlayer-micros = 100\n");
		List<String> addresses = new ArrayList<>(List.of(engines));
		for (int i = 0; i < addresses.size(); i++) {
			text.append("[engine engine-" + i + "]\naddress = " + addresses.get(i)
					+ "\ndata-centre = si-1\nkind = fast\nmodel = mill-qa\nlayers = 0-4\nfencing = checked\n");
		}
		text.append("[service archive]\ntimeout-ms = 1000\n[endpoint archive-1]\nservice = archive\n"
				+ "address = 127.0.0.1:2\ndata-centre = si-1\n[account gate]\ncredential-sha256 = " + Sha256.ofText(KEY)
				+ "\nmax-concurrent = 100\n[operator ada]\ncredential-sha256 = " + Sha256.ofText("operator-key")
				+ "\n");
		return text.toString();
	}

	public static org.awaitility.core.ConditionFactory await() {
		return Awaitility.await().atMost(Duration.ofSeconds(40)).ignoreExceptions();
	}

	/**
	 * Returns an address on which nothing listens at the moment.
	 * @return ip:port
	 */
	public static String freeAddress() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		this.daemons.values().forEach(Daemon::close);
		this.log.close();
		this.hosts.close();
		this.weights.close();
		this.http.close();
	}

	private LogClient client() {
		return new LogClient(this.http, this.log.address(), TIMEOUT_MILLIS);
	}

}
