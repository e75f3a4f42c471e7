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
 * This daemon among its peers: gRPC server, clients and membership.
 */
public final class PeerNode implements AutoCloseable, PeerConfigSource, RequestSearch {

	private static final long LEAVE_MILLIS = 500;

	private final PeerTransport transport;

	private final PeerMembership membership;

	private final ConfigCatchUp catchUp;

	private final GossipService gossip;

	private final RequestSearch search;

	private final LongSupplier clock;

	private final Member self;

	/**
	 * Starts to listen. Exchanges begin with {@link #start()}.
	 * @param settings the daemon's identity, addresses and peers
	 * @param parts what peers are told and what they change
	 */
	public PeerNode(DaemonSection settings, Parts parts) {
		this.clock = parts.clock();
		ConfigMessages configs = new ConfigMessages();
		parts.holder().addListener((config) -> configs.keep(config.snapshot()));
		PeerService service = new PeerService(settings.name(), parts.holder(), parts.journal(), configs);
		this.transport = new PeerTransport(settings.grpcListen(), service);
		String address = PeerAddress.withPort(settings.grpcListen(), this.transport.port());
		this.self = new Member(settings.name(), System.currentTimeMillis(), address, settings.dataCentre(),
				settings.region());
		this.membership = new PeerMembership(this.self, otherPeers(settings), new Random(), this.clock.getAsLong());
		PeerClients clients = new PeerClients(this.transport, this.clock);
		this.catchUp = new ConfigCatchUp(clients, parts.holder(), parts.newerConfig());
		this.search = new PeerRequestSearch(this.membership, clients, this.clock);
		this.gossip = new GossipService(new GossipService.Parts(this.membership, clients,
				new AccountUse(parts.holder(), parts.admission()), this.catchUp, parts.holder(), parts.admission(),
				parts.tables(), parts.followsPeers(), parts.noticeListener(), parts.timer(), this.clock));
		service.serve(this.gossip);
	}

	/**
	 * Returns the peers of the settings without this daemon's own address.
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
	 * Returns this daemon's run.
	 * @return the run, with the bound gRPC address
	 */
	public Member self() {
		return this.self;
	}

	/**
	 * Tells peers that this daemon takes no new requests.
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
		return this.transport.traffic().sent();
	}

	/**
	 * Returns the bytes of messages received from peers.
	 * @return the count since the start, without HTTP/2 headers
	 */
	public long receivedBytes() {
		return this.transport.traffic().received();
	}

	/**
	 * Returns whether this daemon reads the log for configuration.
	 * @return {@code true} for the selected readers, and while gossip is silent
	 */
	public boolean isLogReader() {
		return this.membership.isLogReader(this.clock.getAsLong());
	}

	/**
	 * Returns whether this daemon probes an engine.
	 * @param engine the engine
	 * @return {@code true} if it is one of the engine's probing daemons
	 */
	public boolean isProber(EngineSpec engine) {
		return this.membership.isProber(engine, this.clock.getAsLong());
	}

	/**
	 * Returns whether this daemon acts for the others when nobody holds a lease.
	 * @return {@code true} on the live daemon whose name comes first, in its own view
	 */
	public boolean isFirstReader() {
		return this.membership.isFirstReader(this.clock.getAsLong());
	}

	@Override
	public CompletableFuture<Optional<ConfigSnapshot>> fetch(String peer) {
		return this.catchUp.fetch(peer);
	}

	@Override
	public CompletableFuture<Optional<FoundRequest>> find(String id) {
		return this.search.find(id);
	}

	@Override
	public void close() {
		// A peer that misses the announcement sees the silence instead.
		this.gossip.announce(Phase.LEFT)
			.completeOnTimeout(null, LEAVE_MILLIS, TimeUnit.MILLISECONDS)
			.exceptionally((ex) -> null)
			.join();
		this.transport.close();
	}

	/**
	 * What peers are told and what they change.
	 *
	 * @param holder the configuration in force
	 * @param newerConfig takes a newer configuration of a peer
	 * @param followsPeers whether newer configurations are taken from peers
	 * @param journal the record of requests
	 * @param admission the shares of client accounts
	 * @param tables the endpoints
	 * @param noticeListener hears of endpoints that this daemon ejects or sees leave
	 * @param timer runs the exchanges
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(ConfigHolder holder, Consumer<ConfigSnapshot> newerConfig, BooleanSupplier followsPeers,
			RequestJournal journal, Admission admission, RoutingTables tables,
			Consumer<EndpointNotification> noticeListener, ScheduledExecutorService timer, LongSupplier clock) {
	}

}
