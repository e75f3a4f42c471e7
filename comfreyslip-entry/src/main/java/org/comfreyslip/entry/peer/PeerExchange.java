package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.config.FeedReader;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.layers.EnginePaces;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.retry.RetryBudget;

/**
 * Announces this daemon, and exchanges messages with the others at a steady pace.
 */
public final class PeerExchange {

	/**
	 * Time between two messages to a peer, in ms, while there are few: the lag of engine
	 * reports.
	 */
	private static final long PACE_MS = 200;

	/**
	 * Rounds between two messages to a peer in another data centre, whose streams seldom
	 * share engines.
	 */
	private static final int FAR_ROUNDS = 4;

	/**
	 * Least time for each peer in a round, in ms; bounds the messages a second at many
	 * peers.
	 */
	private static final long PACE_MS_PER_PEER = 8;

	/**
	 * How long a read of the announcements waits, in ms; they change only with the
	 * daemons.
	 */
	private static final long WAIT_MS = 20_000;

	/** Pause before an announcement is written again, in ms. */
	private static final long ANNOUNCE_RETRY_MS = 700;

	private final EventLoop loop;

	private final String name;

	private final String dataCentre;

	private final InetSocketAddress address;

	private final PeerRegistry registry;

	private final LongSupplier elapsedNanos;

	private final KeyedFeed configuration;

	private final LayerLoads loads;

	private final EnginePaces paces;

	private final EndpointFaults faults;

	private final RetryBudget budget;

	private final PeerTable table = new PeerTable();

	private final KeyedFeed announcements = new KeyedFeed();

	private PeerSocket socket;

	private int rounds;

	/**
	 * Creates the exchange.
	 * @param loop the event loop
	 * @param name this daemon's name
	 * @param dataCentre this daemon's data centre
	 * @param address where this daemon receives datagrams
	 * @param registry where daemons announce themselves
	 * @param elapsedNanos elapsed time, in ns
	 * @param configuration what this daemon knows of the configuration
	 * @param loads the loads that are exchanged
	 * @param paces the slow engines that are exchanged
	 * @param faults the failures that are exchanged
	 * @param budget the retry budget that the daemons share
	 */
	public PeerExchange(EventLoop loop, String name, String dataCentre, InetSocketAddress address,
			PeerRegistry registry, LongSupplier elapsedNanos, KeyedFeed configuration, LayerLoads loads,
			EnginePaces paces, EndpointFaults faults, RetryBudget budget) {
		this.loop = loop;
		this.name = name;
		this.dataCentre = dataCentre;
		this.address = address;
		this.registry = registry;
		this.elapsedNanos = elapsedNanos;
		this.configuration = configuration;
		this.loads = loads;
		this.paces = paces;
		this.faults = faults;
		this.budget = budget;
	}

	/** Starts the exchange. Runs on the event loop. */
	public void start() {
		this.socket = new PeerSocket(this.loop, this.address, this::onMessage);
		announce();
		new FeedReader(this.loop, "announcements", this.registry.announcements(), this.announcements, this.elapsedNanos,
				this::onAnnouncements, WAIT_MS, PACE_MS)
			.start();
		this.loop.schedule(this::round, PACE_MS, TimeUnit.MILLISECONDS);
	}

	private void announce() {
		this.registry.announce(this.name, this.address, (done) -> {
			if (!done) {
				this.loop.schedule(this::announce, ANNOUNCE_RETRY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void onAnnouncements(KeyedFeed.Update step) {
		for (KeyedRecord keyed : step.records()) {
			if (!keyed.key().equals(this.name)) {
				keyed.value()
					.flatMap(this.registry::address)
					.ifPresent((where) -> this.table.learn(keyed.key(), where));
			}
		}
	}

	private void onMessage(PeerMessage message, InetSocketAddress from) {
		if (message.sender().equals(this.name)) {
			return;
		}
		long now = this.elapsedNanos.getAsLong();
		this.table.onMessage(message, from, now)
			.ifPresent((confirmed) -> this.configuration.onPeerConfirmation(confirmed.offset(), confirmed.atNanos()));
		message.paces().forEach((id, factor) -> this.paces.onHeard(id, factor, System.nanoTime()));
		message.unreachable().forEach((id) -> this.faults.recordPeerReport(id, System.nanoTime()));
	}

	private void round() {
		long now = this.elapsedNanos.getAsLong();
		this.loads.setPeers(this.table.loads(now));
		this.budget.setDaemonCount(this.table.sharing(now));
		List<PeerTable.Target> targets = this.table.targets();
		long age = this.configuration.ageNanos(now);
		List<String> unreachable = new ArrayList<>(this.faults.locallyObservedFaults(System.nanoTime()));
		boolean farRound = this.rounds++ % FAR_ROUNDS == 0;
		for (PeerTable.Target target : targets) {
			if (!farRound && !target.dataCentre().equals(this.dataCentre)) {
				continue;
			}
			this.socket.send(new PeerMessage(this.name, this.dataCentre, now, target.echoNanos(),
					this.configuration.nextOffset(), (age == Long.MAX_VALUE) ? -1 : age, this.loads.own(),
					this.paces.ownSlow(System.nanoTime()), unreachable), target.address());
		}
		this.loop.schedule(this::round, Math.max(PACE_MS, PACE_MS_PER_PEER * targets.size()), TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the other daemons.
	 * @return the daemons
	 */
	public PeerTable table() {
		return this.table;
	}

}
