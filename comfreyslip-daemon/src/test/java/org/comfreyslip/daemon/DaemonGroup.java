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
 * Daemons and the platform's stand-ins in this process.
 */
public final class DaemonGroup implements AutoCloseable {

	/** Bearer key of the client account. */
	public static final String KEY = "gate-key";

	private static final int LIMIT_MILLIS = 5_000;

	private static final int OK = 200;

	private static final int BIND_ATTEMPTS = 5;

	private final Map<String, Daemon> daemons = new HashMap<>();

	private final Map<String, String> admin = new HashMap<>();

	private final Map<String, String> callers = new HashMap<>();

	private final HttpTransport http = new HttpTransport();

	private final StandinServer log;

	private final StandinServer hosts = StandinServer.start(StandinKind.HOSTS);

	private final StandinServer weights = StandinServer.start(StandinKind.WEIGHTS);

	private ConfigVersion version = ConfigVersion.INITIAL;

	public DaemonGroup(String... logOptions) {
		this.log = StandinServer.start(StandinKind.LOG, logOptions);
	}

	public Daemon start(String name, String... peers) {
		return startWithLog(name, this.log.address(), peers);
	}

	public Daemon startWithLog(String name, String logAddress, String... peers) {
		for (int attempt = 1;; attempt++) {
			this.admin.put(name, freeAddress());
			this.callers.put(name, freeAddress());
			try {
				Daemon daemon = new Daemon(DaemonSettings.parse(name, settings(name, logAddress, peers)));
				this.daemons.put(name, daemon);
				return daemon;
			}
			catch (Exception ex) {
				// An outgoing connection may have taken a port since it was found free.
				// The
				// server throws the checked BindException undeclared.
				if (attempt == BIND_ATTEMPTS) {
					throw ex;
				}
			}
		}
	}

	private String settings(String name, String logAddress, String... peers) {
		return "[daemon]\nname = " + name + "\ndata-centre = si-1\nregion = si-central\nhttp-listen = "
				+ this.callers.get(name) + "\ngrpc-listen = 127.0.0.1:0\nadmin-listen = " + this.admin.get(name) + "\n"
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

	public String propose(String text) {
		ConfigRecord.Proposal proposal = ConfigRecord.Proposal.create(UUID.randomUUID().toString().replace("-", ""),
				this.version, "ada", text);
		long offset = append("config", ConfigRecordCodec.encode(proposal));
		this.version = new ConfigVersion(this.version.number() + 1, offset, proposal.textDigest());
		return proposal.id();
	}

	public long append(String stream, byte[] bytes) {
		return client().append(stream, bytes).join();
	}

	public List<LogRecord> read(String stream) {
		return client().read(stream, 0, 500, 0).join().records();
	}

	public HttpReply admin(String daemon, String path) {
		return this.http.send(HttpCall.get(this.admin.get(daemon), path)).join();
	}

	public String callerAddress(String daemon) {
		return this.callers.get(daemon);
	}

	public HttpTransport http() {
		return this.http;
	}

	public void awaitVersion(String daemon, long number) {
		await().until(() -> admin(daemon, "/ready").status() == OK && new String(admin(daemon, "/admin/status").body())
			.contains("\"config\":{\"number\":" + number + ","));
	}

	public static String text(int modelVersion) {
		return text(modelVersion, "127.0.0.1:1");
	}

	public static String text(int modelVersion, String... engines) {
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
		return new LogClient(this.http, this.log.address(), LIMIT_MILLIS);
	}

}
