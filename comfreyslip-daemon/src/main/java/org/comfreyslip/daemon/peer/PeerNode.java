package org.comfreyslip.daemon.peer;

import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.membership.EndpointNotification;
import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.coordination.membership.MemberReport.Phase;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.config.PeerConfigSource;
import org.comfreyslip.daemon.http.Admission;
import org.comfreyslip.daemon.journal.FoundRequest;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.journal.RequestSearch;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.settings.DaemonSection;

/**
 * Connects this daemon with its peers: gRPC server, clients and membership.
 */
public final class PeerNode implements AutoCloseable, PeerConfigSource, RequestSearch {

	private static final long LEAVE_TIMEOUT_MILLIS = 500;

	private final PeerTransport transport;

	private final PeerMembership membership;

	private final PeerConfigFetcher configFetcher;

	private final GossipService gossip;

	private final RequestSearch search;

	private final LongSupplier clock;

	private final Member self;

	/**
	 * Binds the gRPC server. Exchanges begin with {@link #start()}.
	 * @param settings the daemon's identity, addresses and peers
	 * @param parts the collaborators
	 */
	public PeerNode(DaemonSection settings, Parts parts) {
		this.clock = parts.clock();
		ConfigMessages configs = new ConfigMessages();
		parts.holder().addListener((config) -> configs.remember(config.snapshot()));
		PeerService service = new PeerService(settings.name(), parts.holder(), parts.journal(), configs);
		this.transport = new PeerTransport(settings.grpcListen(), service);
		String address = PeerAddress.withPort(settings.grpcListen(), this.transport.port());
		this.self = new Member(settings.name(), System.currentTimeMillis(), address, settings.dataCentre(),
				settings.region());
		this.membership = new PeerMembership(this.self, otherPeers(settings), new Random(), this.clock.getAsLong());
		PeerClients clients = new PeerClients(this.transport, this.clock);
		this.configFetcher = new PeerConfigFetcher(clients, parts.holder(), parts.newerConfigConsumer());
		this.search = new PeerRequestSearch(this.membership, clients, this.clock);
		this.gossip = new GossipService(new GossipService.Parts(this.membership, clients,
				new AccountUsageReporter(parts.holder(), parts.admission()), this.configFetcher, parts.holder(),
				parts.admission(), parts.tables(), parts.followsPeers(), parts.notificationListener(), parts.timer(),
				this.clock));
		service.startServing(this.gossip);
	}

	/**
	 * Returns the configured peers without this daemon's own address.
	 * @param settings the settings
	 * @return the gRPC addresses
	 */
	public static Set<String> otherPeers(DaemonSection settings) {
		Set<String> peers = new HashSet<>(settings.peers());
		peers.remove(settings.grpcListen());
		return peers;
	}

	/**
	 * Starts the exchanges.
	 */
	public void start() {
		this.gossip.start();
	}

	/**
	 * Returns this daemon as a member.
	 * @return the member, with the incarnation of this process and the bound gRPC address
	 */
	public Member self() {
		return this.self;
	}

	/**
	 * Announces to peers that this daemon takes no new requests.
	 */
	public void announceDrain() {
		this.gossip.announce(Phase.DRAINING);
	}

	/**
	 * Returns the number of live daemons.
	 * @return the count, at least 1
	 */
	public int liveDaemons() {
		return this.membership.liveDaemons(this.clock.getAsLong());
	}

	/**
	 * Returns the bytes of messages sent to peers.
	 * @return the count since the start, without HTTP/2 headers
	 */
	public long sentBytes() {
		return this.transport.traffic().sentBytes();
	}

	/**
	 * Returns the bytes of messages received from peers.
	 * @return the count since the start, without HTTP/2 headers
	 */
	public long receivedBytes() {
		return this.transport.traffic().receivedBytes();
	}

	/**
	 * Returns whether this daemon reads the configuration from the log.
	 * @return {@code true} if it is one of the selected readers or gossip is silent
	 */
	public boolean isLogReader() {
		return this.membership.isLogReader(this.clock.getAsLong());
	}

	/**
	 * Returns whether this daemon probes an engine.
	 * @param engine the engine
	 * @return {@code true} if it is one of the daemons selected for the engine or gossip
	 * is silent
	 */
	public boolean isProber(EngineSpec engine) {
		return this.membership.isProber(engine, this.clock.getAsLong());
	}

	/**
	 * Returns whether this daemon acts in place of the lease holder while no daemon holds
	 * the lease.
	 * @return {@code true} if its name is the first among the live daemons that it knows
	 */
	public boolean isFirstLiveDaemon() {
		return this.membership.isFirstLiveDaemon(this.clock.getAsLong());
	}

	@Override
	public CompletableFuture<Optional<ConfigSnapshot>> fetch(String peer) {
		return this.configFetcher.fetch(peer);
	}

	@Override
	public CompletableFuture<Optional<FoundRequest>> find(String id) {
		return this.search.find(id);
	}

	@Override
	public void close() {
		// A peer that misses the announcement detects the missing heartbeats instead.
		this.gossip.announce(Phase.LEFT)
			.completeOnTimeout(null, LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.exceptionally((ex) -> null)
			.join();
		this.transport.close();
	}

	/**
	 * Collaborators of the peer node: the sources of what is sent to peers, and the
	 * receivers of what peers send.
	 *
	 * @param holder the configuration in force
	 * @param newerConfigConsumer receives a newer configuration of a peer
	 * @param followsPeers whether newer configurations are taken from peers
	 * @param journal the journal of requests
	 * @param admission admission control, with the shares of client accounts
	 * @param tables the routing tables, with the health of endpoints
	 * @param notificationListener receives notifications of endpoints that this daemon
	 * ejects or sees leave
	 * @param timer runs the periodic task
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(ConfigHolder holder, Consumer<ConfigSnapshot> newerConfigConsumer, BooleanSupplier followsPeers,
			RequestJournal journal, Admission admission, RoutingTables tables,
			Consumer<EndpointNotification> notificationListener, ScheduledExecutorService timer, LongSupplier clock) {
	}

}
