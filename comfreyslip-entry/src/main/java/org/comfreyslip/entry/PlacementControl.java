package org.comfreyslip.entry;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.duty.DutyLog;
import org.comfreyslip.entry.duty.DutyPeers;
import org.comfreyslip.entry.duty.DutyRunner;
import org.comfreyslip.entry.layers.LeaderElection;
import org.comfreyslip.entry.layers.LeaderLease;
import org.comfreyslip.entry.layers.OrderPermission;
import org.comfreyslip.entry.peer.PeerExchange;

/**
 * Decides whether this daemon may order engines to hold layers: by the records of the
 * placement duty, or by the leader of the store's group while a daemon of an earlier
 * release is alive. Connects both to the store and to the other daemons. Runs on the
 * event loop.
 */
final class PlacementControl implements OrderPermission, DutyPeers {

	/**
	 * Time without the store after which the holder gives the duty up, in ns: longer than
	 * a single read that fails.
	 */
	private static final long STORE_LOSS_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final EventLoop loop;

	private final LeaderElection election;

	private final PeerExchange peers;

	private final BooleanSupplier cutOff;

	private final LongSupplier elapsedNanos;

	private final LeaderLease lease = new LeaderLease();

	private final DutyRunner runner;

	private BooleanSupplier ordersWanted = () -> false;

	/** Whether this daemon has joined the group and not left it. */
	private boolean joined;

	private boolean stopping;

	/** When the store was reached last, in elapsed ns. */
	private long storeReachedNanos;

	/**
	 * Creates the control.
	 * @param loop the event loop
	 * @param settings the settings at the start
	 * @param ports the interfaces of the platform's adapter
	 * @param peers the messages between daemons, not yet started
	 * @param cutOff tells whether this daemon reaches no engine
	 * @param elapsedNanos clock of the elapsed time, in ns
	 * @param onChange called when the permission has changed
	 */
	PlacementControl(EventLoop loop, EntrySettings settings, PlatformPorts ports, PeerExchange peers,
			BooleanSupplier cutOff, LongSupplier elapsedNanos, Runnable onChange) {
		this.loop = loop;
		this.election = ports.leadership();
		this.peers = peers;
		this.cutOff = cutOff;
		this.elapsedNanos = elapsedNanos;
		this.storeReachedNanos = elapsedNanos.getAsLong();
		DutyLog log = ports.dutyLog();
		this.runner = new DutyRunner(settings.name(), System.currentTimeMillis(), log, this, elapsedNanos, onChange);
		peers.addExtension(this.runner.extension());
		peers.setOnDutyNotice(this.runner::onNotice);
		peers.setOnPoll(this::poll);
	}

	/**
	 * Sets what tells whether there are orders to give.
	 * @param wanted the question
	 */
	void setOrdersWanted(BooleanSupplier wanted) {
		this.ordersWanted = wanted;
	}

	/** Starts to take part in the group if a daemon of an earlier release is heard. */
	void start() {
		this.loop.schedule(this::renewMembership, LeaderLease.RENEWAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	// Called when the datagrams are read, so that a daemon at rest is not woken for this.
	private void poll() {
		decide();
		if (this.runner.intervalMs() < DutyRunner.IDLE_INTERVAL_MS) {
			this.loop.schedule(this::decideBetweenPolls, DutyRunner.ACTIVE_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void decideBetweenPolls() {
		this.peers.readDatagrams();
		decide();
	}

	// A failure must not end the polls.
	private void decide() {
		try {
			this.runner.run(findObstacle(this.elapsedNanos.getAsLong()), this.ordersWanted.getAsBoolean());
		}
		catch (RuntimeException ex) {
			EntryLog.write(EntryEvent.TASK_FAILED, "placement duty", "cause", ex);
		}
	}

	private String findObstacle(long nowNanos) {
		if (this.stopping) {
			return "stopping";
		}
		if (this.cutOff.getAsBoolean()) {
			return "cut off from the engines";
		}
		if (this.peers.isStoreReachable()) {
			this.storeReachedNanos = nowNanos;
			return "";
		}
		boolean tolerated = this.runner.holdsDuty(nowNanos) && nowNanos - this.storeReachedNanos < STORE_LOSS_NANOS;
		return (tolerated) ? "" : "the store is not reached";
	}

	// Of the daemons that know of an earlier release, those that read the store for
	// others stand for election, since each renewal is a call to the store.
	private void renewMembership() {
		boolean needed = this.runner.isGroupNeeded() && !this.cutOff.getAsBoolean();
		if (!needed) {
			leaveGroup();
		}
		if (this.stopping) {
			return;
		}
		if (!needed || (!this.peers.storeReading().reads() && !this.lease.isLeader())) {
			this.loop.schedule(this::renewMembership, LeaderLease.RENEWAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
			return;
		}
		long sentAtNanos = this.elapsedNanos.getAsLong();
		this.joined = true;
		this.election.join(this.lease.generation(), LeaderLease.TTL_MS, (answer) -> {
			answer.ifPresent((result) -> this.lease.onMembership(result, sentAtNanos));
			this.loop.schedule(this::renewMembership, LeaderLease.RENEWAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
		});
	}

	private void leaveGroup() {
		if (this.joined) {
			this.joined = false;
			this.lease.resign();
			this.election.leave();
		}
	}

	/**
	 * Ends a lease that the store granted before it went back to an older copy.
	 * @param era the present era of the store
	 */
	void onStoreWentBack(long era) {
		this.lease.onStoreWentBack(era);
	}

	/** Gives the duty up. Further calls have no effect. */
	void stop() {
		this.stopping = true;
		leaveGroup();
		decide();
	}

	/**
	 * Returns the metrics of the duty.
	 * @return text in the Prometheus format
	 */
	String metricsText() {
		return this.runner.metricsText();
	}

	private OrderPermission current() {
		return (this.runner.isGroupNeeded()) ? this.lease : this.runner;
	}

	@Override
	public boolean holdsDuty(long nowNanos) {
		return current().holdsDuty(nowNanos);
	}

	@Override
	public boolean mayOrder(long nowNanos) {
		return !this.stopping && !this.cutOff.getAsBoolean() && current().mayOrder(nowNanos);
	}

	@Override
	public long fencingToken() {
		return current().fencingToken();
	}

	@Override
	public void recordRejectedToken(long token) {
		current().recordRejectedToken(token);
	}

	@Override
	public String reason() {
		return current().reason();
	}

	@Override
	public Map<String, Boolean> live(long nowNanos) {
		return this.peers.table().liveReach(nowNanos);
	}

	@Override
	public int localCount() {
		return this.peers.table().countLocalPeers();
	}

	@Override
	public boolean isComplete(long nowNanos) {
		return this.peers.knowsPeers(nowNanos);
	}

	@Override
	public void send(byte[] notice, String receiver) {
		this.peers.send(notice, receiver);
	}

}
