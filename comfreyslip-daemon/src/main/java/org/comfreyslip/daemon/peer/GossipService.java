package org.comfreyslip.daemon.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.comfreyslip.coordination.membership.EndpointNotification;
import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.coordination.membership.MemberReport.Phase;
import org.comfreyslip.coordination.membership.MembershipDelta;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.http.Admission;
import org.comfreyslip.daemon.route.RoutingTables;

/**
 * Exchanges membership deltas with peers each second and applies what peers report.
 */
final class GossipService {

	/**
	 * An exchange is due one second after the last one. With a tick period of one second,
	 * a tick that comes slightly early would delay its exchange to the next tick.
	 */
	private static final long TICK_MILLIS = 200;

	private static final long HEARTBEAT_NANOS = 1_000_000_000L;

	/**
	 * Number of peers that an announcement is sent to. It reaches a live peer even if two
	 * others have just died.
	 */
	private static final int ANNOUNCED_PEERS = 3;

	private final Parts parts;

	private final EndpointNotificationTracker notificationTracker = new EndpointNotificationTracker();

	private Set<String> peerNames = Set.of();

	private long nextHeartbeatNanos;

	GossipService(Parts parts) {
		this.parts = parts;
		this.nextHeartbeatNanos = parts.clock().getAsLong();
	}

	void start() {
		this.parts.timer().scheduleAtFixedRate(this::tickSafely, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Handles an exchange that a peer began.
	 * @param bytes the peer's encoded delta
	 * @return this daemon's encoded delta
	 */
	byte[] handleExchange(byte[] bytes) {
		MembershipDelta delta = MembershipDelta.decode(bytes);
		apply(delta);
		return this.parts.membership().unconfirmedDeltaFor(delta.sender(), this.parts.usage().collect());
	}

	/**
	 * Announces to some peers at once that this daemon is draining or leaving.
	 * @param phase the phase to announce
	 * @return completes when each peer has replied or failed
	 */
	CompletableFuture<Void> announce(Phase phase) {
		long now = now();
		this.parts.membership().announce(phase, now);
		return CompletableFuture.allOf(this.parts.membership()
			.otherMembers(now)
			.stream()
			.limit(ANNOUNCED_PEERS)
			.map(this::sendAnnouncement)
			.toArray(CompletableFuture[]::new));
	}

	// Does not wait for an open exchange with the peer, which began before the
	// announcement. The delta is never confirmed, so its content is sent again.
	private CompletableFuture<Void> sendAnnouncement(Member peer) {
		byte[] delta = this.parts.membership().unconfirmedDeltaFor(peer.name(), this.parts.usage().collect());
		return this.parts.clients()
			.exchange(peer.address(), delta)
			.thenAccept((reply) -> apply(MembershipDelta.decode(reply)))
			.exceptionally((ex) -> null);
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			DaemonEvent.UNEXPECTED.log("gossip", ex);
		}
	}

	private void tick() {
		long now = now();
		if (now - this.nextHeartbeatNanos >= 0) {
			this.nextHeartbeatNanos += HEARTBEAT_NANOS;
			updateHeartbeat(now);
		}
		this.parts.membership().dueTargets(now).forEach(this::exchange);
	}

	private void updateHeartbeat(long now) {
		PeerMembership membership = this.parts.membership();
		long version = this.parts.holder().accepted().version().number();
		membership.tick(now, version);
		announceEndpointChanges(now);
		updateMembers(now);
		if (this.parts.followsPeers().getAsBoolean()) {
			membership.findMemberWithNewerConfig(version, now)
				.ifPresent((member) -> this.parts.configFetcher().updateFrom(member.address()));
		}
	}

	private void announceEndpointChanges(long now) {
		List<EndpointNotification> notifications = this.notificationTracker
			.detectChanges(this.parts.tables().status(now), System.currentTimeMillis());
		notifications.forEach(this.parts.membership()::addNotification);
		notifications.forEach(this.parts.notificationListener());
	}

	private void updateMembers(long now) {
		this.parts.admission().expirePeerUsage(now);
		this.parts.admission().setLiveDaemons(this.parts.membership().liveDaemons(now));
		Set<String> names = new HashSet<>();
		this.parts.membership().otherMembers(now).forEach((member) -> names.add(member.name()));
		names.stream().filter((name) -> !this.peerNames.contains(name)).forEach(DaemonEvent.MEMBER_JOINED::log);
		this.peerNames.stream()
			.filter((name) -> !names.contains(name))
			.forEach((name) -> DaemonEvent.MEMBER_GONE.log(name, this.parts.membership().state(name, now)));
		if (!names.equals(this.peerNames)) {
			this.parts.clients().retain(this.parts.membership().knownAddresses(now));
		}
		this.peerNames = names;
	}

	private CompletableFuture<Void> exchange(PeerTarget target) {
		PeerMembership membership = this.parts.membership();
		Optional<byte[]> delta = membership.beginExchange(target.name(), this.parts.usage().collect());
		if (delta.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.parts.clients()
			.exchange(target.address(), delta.get())
			.thenAccept((reply) -> apply(MembershipDelta.decode(reply)))
			.handle((done, ex) -> {
				membership.endExchange(target.name(), ex == null);
				return null;
			});
	}

	private void apply(MembershipDelta delta) {
		long now = now();
		long wallClock = System.currentTimeMillis();
		List<EndpointNotification> fresh = this.parts.membership().merge(delta, now);
		for (EndpointNotification notification : fresh) {
			this.notificationTracker.applyNotification(notification, wallClock)
				.ifPresent((state) -> this.parts.tables().onPeerNotification(notification.endpoint(), state, now));
		}
		this.parts.usage().onPeerDelta(delta, now);
	}

	private long now() {
		return this.parts.clock().getAsLong();
	}

	/**
	 * Collaborators of the service.
	 *
	 * @param membership the member table
	 * @param clients clients of the peers
	 * @param usage reports the usage of client accounts
	 * @param configFetcher fetches newer configurations
	 * @param holder the configuration in force
	 * @param admission admission control, which divides limits by the number of live
	 * daemons
	 * @param tables the routing tables, with the health of endpoints
	 * @param followsPeers whether newer configurations are taken from peers; a daemon
	 * that reads the log takes them from there, so that it sees each decision
	 * @param notificationListener receives this daemon's own notifications
	 * @param timer runs the periodic task
	 * @param clock the monotonic clock, in ns
	 */
	record Parts(PeerMembership membership, PeerClients clients, AccountUsageReporter usage,
			PeerConfigFetcher configFetcher, ConfigHolder holder, Admission admission, RoutingTables tables,
			BooleanSupplier followsPeers, Consumer<EndpointNotification> notificationListener,
			ScheduledExecutorService timer, LongSupplier clock) {
	}

}
