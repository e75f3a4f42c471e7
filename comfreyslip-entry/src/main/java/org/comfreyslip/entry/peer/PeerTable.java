package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.layers.LayerLoads.Load;
import org.comfreyslip.entry.layers.LayerLoads.PeerLoads;
import org.comfreyslip.entry.reach.RelayPeer;

/**
 * The other daemons, with their addresses and the last message received from each.
 */
public final class PeerTable {

	private final String dataCentre;

	private final Map<String, Peer> peers = new HashMap<>();

	/**
	 * Creates a table without peers.
	 * @param dataCentre this daemon's data centre
	 */
	public PeerTable(String dataCentre) {
		this.dataCentre = dataCentre;
	}

	/**
	 * Records the announced address of a daemon.
	 * @param name the daemon's name
	 * @param address address on which it receives datagrams
	 */
	public void recordAddress(String name, InetSocketAddress address) {
		Peer peer = this.peers.computeIfAbsent(name, (key) -> new Peer());
		peer.address = address;
	}

	/**
	 * Handles a message from another daemon.
	 * @param message the message
	 * @param from address from which it was sent
	 * @param nowNanos the current elapsed time in ns
	 */
	public void onMessage(PeerMessage message, InetSocketAddress from, long nowNanos) {
		Peer peer = this.peers.computeIfAbsent(message.sender(), (key) -> new Peer());
		peer.address = from;
		peer.hasSentMessage = true;
		peer.lastMessageAtNanos = nowNanos;
		peer.lastMessage = message;
	}

	/**
	 * Returns the peers to send messages to.
	 * @return all known peers, in no particular order; may be empty
	 */
	public List<Target> targets() {
		List<Target> targets = new ArrayList<>();
		this.peers.forEach((name, peer) -> targets
			.add(new Target(name, peer.address, (peer.lastMessage != null) ? peer.lastMessage.dataCentre() : "",
					(peer.lastMessage != null) ? peer.lastMessage.sentAtNanos() : 0)));
		return targets;
	}

	/**
	 * Returns the sum of the loads of the peers that sent a message recently.
	 * @param nowNanos the current elapsed time in ns
	 * @return the loads by endpoint id or link between two data centres; may be empty
	 */
	public PeerLoads totalLoads(long nowNanos) {
		Map<String, Load> sum = new HashMap<>();
		int daemonCount = 0;
		long oldestAgeNanos = 0;
		for (Peer peer : liveEntries(nowNanos)) {
			peer.lastMessage.loads().forEach((id, load) -> sum.merge(id, load, Load::plus));
			daemonCount++;
			oldestAgeNanos = Math.max(oldestAgeNanos, nowNanos - peer.lastMessageAtNanos);
		}
		return new PeerLoads(sum, daemonCount, oldestAgeNanos);
	}

	/**
	 * Returns the daemons that sent a message recently.
	 * @param nowNanos the current elapsed time in ns
	 * @return the data centre of each daemon by its name, without this one
	 */
	public Map<String, String> livePeers(long nowNanos) {
		Map<String, String> live = new HashMap<>();
		liveEntries(nowNanos).forEach((peer) -> live.put(peer.lastMessage.sender(), peer.lastMessage.dataCentre()));
		return live;
	}

	/**
	 * Returns the daemons that sent a message recently, by what they reach.
	 * @param nowNanos the current elapsed time in ns
	 * @return by the name of each daemon, without this one, whether it reaches the store
	 * and the engines, as of its last message
	 */
	public Map<String, Boolean> liveReach(long nowNanos) {
		Map<String, Boolean> live = new HashMap<>();
		liveEntries(nowNanos).forEach((peer) -> live.put(peer.lastMessage.sender(), peer.lastMessage.storeReachable()));
		return live;
	}

	/**
	 * Returns the address of a daemon.
	 * @param name the daemon's name
	 * @return address on which it receives datagrams; empty if it is not known
	 */
	public Optional<InetSocketAddress> address(String name) {
		return Optional.ofNullable(this.peers.get(name)).map((peer) -> peer.address);
	}

	/**
	 * Tells whether any other daemon has sent a message.
	 * @return whether one has
	 */
	public boolean hasHeardFromAny() {
		return this.peers.values().stream().anyMatch((peer) -> peer.hasSentMessage);
	}

	/**
	 * Returns the daemons that sent a message recently, as ways for requests.
	 * @param nowNanos the current elapsed time in ns
	 * @return the daemons, without this one, as of their last messages
	 */
	public List<RelayPeer> relayPeers(long nowNanos) {
		List<RelayPeer> peers = new ArrayList<>();
		for (Peer peer : liveEntries(nowNanos)) {
			PeerMessage message = peer.lastMessage;
			peers.add(new RelayPeer(message.sender(), message.dataCentre(), peer.address, message.takesRelays(),
					message.lostServices()));
		}
		return peers;
	}

	/**
	 * Returns the daemons of this data centre that sent a message recently.
	 * @param silenceNanos time without a message after which a daemon does not read the
	 * store for others, in ns
	 * @param nowNanos the current elapsed time in ns
	 * @return by the name of each daemon, without this one, whether it can read the store
	 * for others
	 */
	Map<String, Boolean> liveLocalPeers(long silenceNanos, long nowNanos) {
		Map<String, Boolean> live = new HashMap<>();
		for (Peer peer : liveEntries(nowNanos)) {
			if (isLocal(peer)) {
				live.put(peer.lastMessage.sender(), canRead(peer, silenceNanos, nowNanos));
			}
		}
		return live;
	}

	/**
	 * Tells whether a daemon can read the store for others.
	 * @param name the daemon's name
	 * @param silenceNanos time without a message after which it cannot, in ns
	 * @param nowNanos the current elapsed time in ns
	 * @return whether it is not silent and reaches the store
	 */
	boolean canRead(String name, long silenceNanos, long nowNanos) {
		Peer peer = this.peers.get(name);
		return peer != null && peer.hasSentMessage && canRead(peer, silenceNanos, nowNanos);
	}

	private static boolean canRead(Peer peer, long silenceNanos, long nowNanos) {
		return peer.lastMessage.storeReachable() && nowNanos - peer.lastMessageAtNanos < silenceNanos;
	}

	// Returns the peers whose last message still counts.
	private List<Peer> liveEntries(long nowNanos) {
		long localNanos = TimeUnit.MILLISECONDS
			.toNanos(PeerSchedule.loadValidityMs(PeerSchedule.localIntervalMs(countLocalPeers())));
		long remoteNanos = TimeUnit.MILLISECONDS
			.toNanos(PeerSchedule.loadValidityMs(PeerSchedule.remoteIntervalMs(this.peers.size())));
		List<Peer> live = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			if (peer.hasSentMessage
					&& nowNanos - peer.lastMessageAtNanos < ((isLocal(peer)) ? localNanos : remoteNanos)) {
				live.add(peer);
			}
		}
		return live;
	}

	private boolean isLocal(Peer peer) {
		return peer.hasSentMessage && peer.lastMessage.dataCentre().equals(this.dataCentre);
	}

	/**
	 * Returns the interval at which the sender of a message sends messages to this
	 * daemon.
	 * @param message the message
	 * @return the interval, in ms, if the sender knows as many daemons as this one
	 */
	public long intervalMs(PeerMessage message) {
		return (message.dataCentre().equals(this.dataCentre)) ? PeerSchedule.localIntervalMs(countLocalPeers())
				: PeerSchedule.remoteIntervalMs(this.peers.size());
	}

	/**
	 * Returns the number of other daemons in this daemon's data centre.
	 * @return the number of peers there that have sent a message
	 */
	public int countLocalPeers() {
		int count = 0;
		for (Peer peer : this.peers.values()) {
			count += (isLocal(peer)) ? 1 : 0;
		}
		return count;
	}

	/** What is known of another daemon. The message is null before the first one. */
	private static final class Peer {

		private InetSocketAddress address;

		private boolean hasSentMessage;

		private long lastMessageAtNanos;

		private PeerMessage lastMessage;

	}

	/**
	 * A peer to send messages to.
	 *
	 * @param name the peer's name
	 * @param address address on which it receives datagrams
	 * @param dataCentre its data centre; the empty string before its first message
	 * @param echoNanos {@code sentAtNanos} of the last message received from it; 0 if
	 * none
	 */
	public record Target(String name, InetSocketAddress address, String dataCentre, long echoNanos) {
	}

}
