package org.comfreyslip.entry.http;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.reach.EndpointReach;
import org.comfreyslip.entry.reach.RelayPeer;
import org.comfreyslip.entry.reach.RelaySelector;
import org.comfreyslip.entry.reach.RotationPolicy;

/**
 * Passes requests on to other daemons while this one does not reach the endpoints of
 * their service, and limits those that this daemon takes.
 */
final class PeerRelays {

	/** Largest number of daemons to which one request is passed, one after the other. */
	static final int MAX_RELAYS = 3;

	/** Largest number of requests of other daemons that are open here at a time. */
	private static final int MAX_TAKEN = 512;

	private final EndpointPool pool;

	private final HeaderTranslator headers;

	private final EndpointReach reach;

	private final RelaySelector selector;

	private final RotationPolicy rotation;

	private Supplier<List<RelayPeer>> peers = List::of;

	/** Number of requests of other daemons that are open here. */
	private int taken;

	PeerRelays(EventLoop loop, HeaderTranslator headers, String dataCentre, EndpointReach reach,
			RandomGenerator random) {
		this.headers = headers;
		this.reach = reach;
		this.pool = new EndpointPool(loop, this::readResponse, ConnectionObserver.NONE);
		this.selector = new RelaySelector(dataCentre, random);
		this.rotation = new RotationPolicy(dataCentre);
	}

	void setPeers(Supplier<List<RelayPeer>> source) {
		this.peers = source;
	}

	// The identity of the attempt is that of the relay, which responses of the daemon
	// itself carry, too.
	private HeaderTranslator.ResponseFields readResponse(HttpResponse head) {
		HeaderTranslator.ResponseFields fields = this.headers.readResponse(head);
		Optional<String> attemptId = RelayReply.readFrom(head.headers()).map(RelayReply::attemptId);
		return new HeaderTranslator.ResponseFields(attemptId, fields.signed(), fields.notExecuted(),
				fields.faultAddress(), fields.keepAliveMs(), fields.reusable(), fields.contentEncoded(),
				fields.requestsPerSecond());
	}

	/**
	 * Chooses a daemon for a request.
	 * @param service name of the request's service
	 * @param tried names of the daemons to which the request was passed before
	 * @param nowNanos the current steady time in ns
	 * @return the daemon; empty if this daemon reaches the service itself, or no other
	 * one is known to
	 */
	Optional<RelayPeer> choose(String service, Collection<String> tried, long nowNanos) {
		if (!this.reach.isLost(service) || tried.size() >= MAX_RELAYS) {
			return Optional.empty();
		}
		return this.selector.choose(service, this.peers.get(), tried, nowNanos);
	}

	/**
	 * Passes a request on.
	 * @param peer the daemon
	 * @param request the request; its reference passes to this call
	 * @param attemptId identity of the caller's attempt
	 * @param nonIdempotent whether the request may run only once
	 * @param listener receives the events of this send
	 * @return the connection that carries the request
	 */
	EndpointConnection send(RelayPeer peer, FullHttpRequest request, String attemptId, boolean nonIdempotent,
			ResponseListener listener) {
		this.selector.onSent(peer.name());
		return this.pool.send(ConnectionTarget.of(peer), request, attemptId, nonIdempotent, listener);
	}

	void onEnded(RelayPeer peer) {
		this.selector.onEnded(peer.name());
	}

	void onNotTaken(RelayPeer peer, String service, long nowNanos) {
		this.selector.onNotTaken(peer.name(), service, nowNanos);
	}

	/**
	 * Counts a request of another daemon, if this one takes more of them.
	 * @return whether it does; if so, {@link #release} must follow
	 */
	boolean tryTake() {
		if (this.taken >= MAX_TAKEN) {
			return false;
		}
		this.taken++;
		return true;
	}

	void release() {
		this.taken--;
	}

	/**
	 * Tells whether another daemon may reach a service that this one does not.
	 * @param service name of the service
	 * @param nowNanos the current steady time in ns
	 * @return whether requests can be passed on
	 */
	boolean canPassOn(String service, long nowNanos) {
		return choose(service, List.of(), nowNanos).isPresent();
	}

	/**
	 * Tells whether this daemon is out of the rotation of the load balancer, since others
	 * serve its callers with less effort.
	 * @return whether it reports itself as not ready and closes callers' connections
	 */
	boolean isOutOfRotation() {
		return this.rotation.isOut();
	}

	/**
	 * Decides anew about the rotation and closes connections that were idle for too long.
	 * Called periodically.
	 * @param nowNanos the current steady time in ns
	 */
	void update(long nowNanos) {
		boolean before = this.rotation.isOut();
		List<String> lost = this.reach.lostServices();
		if (this.rotation.isInUse() || !lost.isEmpty()) {
			boolean out = this.rotation.update(lost, this.peers.get(), nowNanos);
			if (out != before) {
				EntryLog.write((out) ? EntryEvent.ROTATION_LEFT : EntryEvent.ROTATION_REJOINED, "rotation", "lost",
						lost);
			}
		}
		this.pool.closeExpired(nowNanos);
	}

}
