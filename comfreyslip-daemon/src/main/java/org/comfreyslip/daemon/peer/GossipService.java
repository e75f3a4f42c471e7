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
 * Exchanges differences with peers each second and applies what they report.
 */
final class GossipService {

	/**
	 * Exchanges are due a second after the last one. With ticks of a second, each one
	 * that comes slightly early would delay its exchange to the next.
	 */
	private static final long TICK_MILLIS = 200;

	private static final long BEAT_NANOS = 1_000_000_000L;

	/**
	 * An announcement reaches at least one peer that lives even if two others just died.
	 */
	private static final int ANNOUNCED_PEERS = 3;

	private final Parts parts;

	private final EndpointNews news = new EndpointNews();

	private Set<String> others = Set.of();

	private long nextBeat;

	GossipService(Parts parts) {
		this.parts = parts;
		this.nextBeat = parts.clock().getAsLong();
	}

	void start() {
		this.parts.timer().scheduleAtFixedRate(this::tickSafely, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Answers a peer's exchange.
	 * @param bytes the peer's difference
	 * @return the own difference
	 */
	byte[] answer(byte[] bytes) {
		MembershipDelta delta = MembershipDelta.decode(bytes);
		apply(delta);
		return this.parts.membership().unconfirmedFor(delta.sender(), this.parts.usage().own());
	}

	/**
	 * Tells some peers at once that this daemon drains or leaves.
	 * @param phase the phase
	 * @return completes when the peers have answered or failed
	 */
	CompletableFuture<Void> announce(Phase phase) {
		long now = now();
		this.parts.membership().announce(phase, now);
		return CompletableFuture.allOf(this.parts.membership()
			.others(now)
			.stream()
			.limit(ANNOUNCED_PEERS)
			.map(this::tell)
			.toArray(CompletableFuture[]::new));
	}

	// An exchange that is open with the peer began before the announcement, so that this
	// one
	// does not wait for it. It is never confirmed: its content is sent again.
	private CompletableFuture<Void> tell(Member peer) {
		byte[] delta = this.parts.membership().unconfirmedFor(peer.name(), this.parts.usage().own());
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
		if (now - this.nextBeat >= 0) {
			this.nextBeat += BEAT_NANOS;
			beat(now);
		}
		this.parts.membership().due(now).forEach(this::exchange);
	}

	private void beat(long now) {
		PeerMembership membership = this.parts.membership();
		long version = this.parts.holder().accepted().version().number();
		membership.tick(now, version);
		spreadNews(now);
		onMembers(now);
		if (this.parts.followsPeers().getAsBoolean()) {
			membership.newerThan(version, now).ifPresent((member) -> this.parts.catchUp().moveTo(member.address()));
		}
	}

	private void spreadNews(long now) {
		List<EndpointNotification> notices = this.news.changes(this.parts.tables().status(now),
				System.currentTimeMillis());
		notices.forEach(this.parts.membership()::addNotice);
		notices.forEach(this.parts.noticeListener());
	}

	private void onMembers(long now) {
		this.parts.admission().expirePeerUsage(now);
		this.parts.admission().setLiveDaemons(this.parts.membership().liveDaemons(now));
		Set<String> names = new HashSet<>();
		this.parts.membership().others(now).forEach((member) -> names.add(member.name()));
		names.stream().filter((name) -> !this.others.contains(name)).forEach(DaemonEvent.MEMBER_JOINED::log);
		this.others.stream()
			.filter((name) -> !names.contains(name))
			.forEach((name) -> DaemonEvent.MEMBER_GONE.log(name, this.parts.membership().state(name, now)));
		if (!names.equals(this.others)) {
			this.parts.clients().retain(this.parts.membership().knownAddresses(now));
		}
		this.others = names;
	}

	private CompletableFuture<Void> exchange(PeerTarget target) {
		PeerMembership membership = this.parts.membership();
		Optional<byte[]> delta = membership.begin(target.name(), this.parts.usage().own());
		if (delta.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.parts.clients()
			.exchange(target.address(), delta.get())
			.thenAccept((reply) -> apply(MembershipDelta.decode(reply)))
			.handle((done, ex) -> {
				membership.end(target.name(), ex == null);
				return null;
			});
	}

	private void apply(MembershipDelta delta) {
		long now = now();
		long wallClock = System.currentTimeMillis();
		List<EndpointNotification> fresh = this.parts.membership().merge(delta, now);
		for (EndpointNotification notice : fresh) {
			this.news.accept(notice, wallClock)
				.ifPresent((state) -> this.parts.tables().onPeerNotice(notice.endpoint(), state, now));
		}
		this.parts.usage().onPeer(delta, now);
	}

	private long now() {
		return this.parts.clock().getAsLong();
	}

	/**
	 * What the service works with.
	 *
	 * @param membership the members
	 * @param clients calls to peers
	 * @param usage use of client accounts
	 * @param catchUp fetches newer configurations
	 * @param holder the configuration in force
	 * @param admission where live daemons are counted
	 * @param tables the endpoints
	 * @param followsPeers whether newer configurations are taken from peers; a daemon
	 * that reads the log takes them from there, so that it sees each decision
	 * @param noticeListener hears of this daemon's own notices
	 * @param timer runs the exchanges
	 * @param clock the monotonic clock, in ns
	 */
	record Parts(PeerMembership membership, PeerClients clients, AccountUse usage, ConfigCatchUp catchUp,
			ConfigHolder holder, Admission admission, RoutingTables tables, BooleanSupplier followsPeers,
			Consumer<EndpointNotification> noticeListener, ScheduledExecutorService timer, LongSupplier clock) {
	}

}
