package org.comfreyslip.entry.reach;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.peer.PeerSchedule;

/**
 * Daemons, some of which are cut off from all endpoints, in simulated time: the decision
 * classes with the intervals of the real messages, a load balancer that probes each
 * daemon once a second and shares callers out evenly, and callers half of whose requests
 * come on connections that stay with their daemon.
 */
final class CutOffSimulation {

	static final String SERVICE = "model";

	static final int ENDPOINTS = 45;

	/** Requests a second for each daemon. */
	private static final int REQUESTS_PER_SECOND = 4;

	private static final int CALLERS_PER_DAEMON = 12;

	private static final int MAX_RELAYS = 3;

	private static final long STEP_MS = 40;

	private static final int MISSES_TO_LEAVE = 2;

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.2", 7_340);

	private final SplittableRandom random;

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<String, List<Daemon>> byDataCentre = new HashMap<>();

	private final List<String> dataCentres = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<String> endpoints = new ArrayList<>();

	/** Trials by endpoint and second. */
	private final Map<String, Integer> trials = new HashMap<>();

	private final boolean hanging;

	private long nowMs = 1_000;

	private long eventCount;

	private long countFromMs;

	CutOffSimulation(int daemonCount, int dataCentreCount, boolean hanging, long seed) {
		this.random = new SplittableRandom(seed);
		this.hanging = hanging;
		for (int index = 0; index < ENDPOINTS; index++) {
			this.endpoints.add("e" + index);
		}
		for (int index = 0; index < daemonCount; index++) {
			Daemon daemon = new Daemon("d" + index, "dc" + index % dataCentreCount, daemonCount, dataCentreCount);
			this.daemons.add(daemon);
			this.byDataCentre.computeIfAbsent(daemon.dataCentre, (name) -> {
				this.dataCentres.add(name);
				return new ArrayList<>();
			}).add(daemon);
		}
		this.daemons.forEach(Daemon::start);
		for (int caller = 0; caller < CALLERS_PER_DAEMON * daemonCount; caller++) {
			Caller added = new Caller(this.dataCentres.get(caller % dataCentreCount), caller / dataCentreCount);
			at(this.nowMs + this.random.nextInt(1_000), added::send);
		}
	}

	List<Daemon> daemons() {
		return this.daemons;
	}

	List<Daemon> daemonsOf(String dataCentre) {
		return this.byDataCentre.get(dataCentre);
	}

	private void at(long timeMs, Runnable action) {
		this.events.add(new Event(timeMs, this.eventCount++, action));
	}

	void runFor(long ms) {
		long end = this.nowMs + ms;
		while (!this.events.isEmpty() && this.events.peek().timeMs() <= end) {
			Event next = this.events.poll();
			this.nowMs = Math.max(this.nowMs, next.timeMs());
			next.action().run();
		}
		this.nowMs = end;
	}

	/** Counts requests and trials anew from now on. */
	void startCounting() {
		this.countFromMs = this.nowMs;
		this.trials.clear();
		this.daemons.forEach((daemon) -> {
			daemon.firstTries = 0;
			daemon.served = 0;
			daemon.handled = 0;
			daemon.relayed = 0;
		});
	}

	int mostTrialsOfAnEndpointInASecond() {
		return this.trials.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMs);
	}

	private record Event(long timeMs, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.timeMs != other.timeMs) ? Long.compare(this.timeMs, other.timeMs)
					: Long.compare(this.number, other.number);
		}

	}

	/** One daemon. */
	final class Daemon {

		private final String name;

		private final String dataCentre;

		private final int peerCount;

		private final int localPeerCount;

		private final EndpointReach reach;

		private final RelaySelector selector;

		private final RotationPolicy rotation;

		/** The last message of each other daemon. */
		private final Map<String, RelayPeer> peers = new HashMap<>();

		private final List<Request> waiting = new ArrayList<>();

		private boolean cutOff;

		private int misses;

		private boolean inRotation = true;

		private long nextRemoteRoundMs;

		private int firstTries;

		private int served;

		private int handled;

		private int relayed;

		Daemon(String name, String dataCentre, int daemonCount, int dataCentreCount) {
			this.name = name;
			this.dataCentre = dataCentre;
			this.peerCount = daemonCount - 1;
			this.localPeerCount = daemonCount / dataCentreCount - 1;
			this.reach = new EndpointReach(CutOffSimulation.this.random);
			this.selector = new RelaySelector(dataCentre, CutOffSimulation.this.random);
			this.rotation = new RotationPolicy(dataCentre);
		}

		void setCutOff(boolean value) {
			this.cutOff = value;
		}

		boolean isCutOff() {
			return this.cutOff;
		}

		boolean isLost() {
			return this.reach.isLost(SERVICE);
		}

		boolean isInRotation() {
			return this.inRotation;
		}

		int firstTries() {
			return this.firstTries;
		}

		int served() {
			return this.served;
		}

		// Requests that this daemon sent to endpoints, its own and those of others.
		int handled() {
			return this.handled;
		}

		// Requests that this daemon passed on.
		int relayed() {
			return this.relayed;
		}

		private void start() {
			SplittableRandom phases = CutOffSimulation.this.random;
			long now = CutOffSimulation.this.nowMs;
			at(now + phases.nextInt(1_000), this::probe);
			at(now + phases.nextInt(200), this::sendRound);
			at(now + phases.nextInt((int) STEP_MS), this::update);
		}

		private void probe() {
			if (this.rotation.isOut()) {
				this.misses++;
				this.inRotation &= this.misses < MISSES_TO_LEAVE;
			}
			else {
				this.misses = 0;
				this.inRotation = true;
			}
			at(CutOffSimulation.this.nowMs + 1_000, this::probe);
		}

		private void sendRound() {
			long now = CutOffSimulation.this.nowMs;
			RelayPeer message = new RelayPeer(this.name, this.dataCentre, ADDRESS, true, this.reach.lostServices());
			boolean includeRemote = now >= this.nextRemoteRoundMs;
			if (includeRemote) {
				this.nextRemoteRoundMs = now + PeerSchedule.remoteIntervalMs(this.peerCount);
			}
			for (Daemon other : CutOffSimulation.this.daemons) {
				if (other != this && (includeRemote || other.dataCentre.equals(this.dataCentre))) {
					at(now + 1, () -> other.peers.put(this.name, message));
				}
			}
			at(now + PeerSchedule.localIntervalMs(this.localPeerCount), this::sendRound);
		}

		private List<RelayPeer> livePeers() {
			return List.copyOf(this.peers.values());
		}

		private void update() {
			List<String> lost = this.reach.lostServices();
			if (this.rotation.isInUse() || !lost.isEmpty()) {
				this.rotation.update(lost, livePeers(), nowNanos());
			}
			startTrials();
			at(CutOffSimulation.this.nowMs + STEP_MS, this::update);
		}

		private void startTrials() {
			for (String id : this.reach.takeTrials(SERVICE, CutOffSimulation.this.endpoints, nowNanos())) {
				long now = CutOffSimulation.this.nowMs;
				CutOffSimulation.this.trials.merge(id + "@" + (now - CutOffSimulation.this.countFromMs) / 1_000, 1,
						Integer::sum);
				boolean opens = !this.cutOff;
				at(now + ((opens) ? 52 : failMs()), () -> onTrialDone(id, opens));
			}
		}

		private long failMs() {
			return (CutOffSimulation.this.hanging) ? 300 : 2;
		}

		private void onTrialDone(String id, boolean opened) {
			this.reach.onTrialDone(SERVICE, id, opened, CutOffSimulation.this.endpoints, nowNanos());
			startTrials();
			List<Request> released = new ArrayList<>(this.waiting);
			this.waiting.clear();
			released.forEach(this::dispatch);
		}

		void dispatch(Request request) {
			if (isLost()) {
				passOn(request);
			}
			else if (this.cutOff) {
				long failedAt = CutOffSimulation.this.nowMs + failMs();
				at(failedAt, () -> {
					this.reach.doubt(SERVICE, nowNanos());
					startTrials();
					this.waiting.add(request);
				});
			}
			else {
				this.handled++;
				request.origin.served++;
			}
		}

		private void passOn(Request request) {
			if (request.origin != this) {
				request.origin.selector.onNotTaken(this.name, SERVICE, nowNanos());
				at(CutOffSimulation.this.nowMs + 1, () -> request.origin.dispatch(request));
				return;
			}
			Optional<RelayPeer> peer = (request.tried.size() < MAX_RELAYS)
					? this.selector.choose(SERVICE, livePeers(), request.tried, nowNanos()) : Optional.empty();
			peer.ifPresent((one) -> {
				request.tried.add(one.name());
				this.relayed++;
				Daemon taker = CutOffSimulation.this.daemons.get(Integer.parseInt(one.name().substring(1)));
				at(CutOffSimulation.this.nowMs + 1, () -> taker.dispatch(request));
			});
		}

	}

	/** One request of a caller, counted at the daemon that it came to. */
	private static final class Request {

		private final Daemon origin;

		private final Set<String> tried = new HashSet<>();

		Request(Daemon origin) {
			this.origin = origin;
			origin.firstTries++;
		}

	}

	/** A caller, every other of whose requests comes on a new connection. */
	private final class Caller {

		private final String dataCentre;

		private final int hash;

		/** The daemon of the connection that is kept, or null. */
		private Daemon kept;

		Caller(String dataCentre, int hash) {
			this.dataCentre = dataCentre;
			this.hash = hash;
		}

		void send() {
			boolean onKept = this.kept != null && CutOffSimulation.this.random.nextBoolean();
			Daemon daemon = (onKept) ? this.kept : balance();
			daemon.dispatch(new Request(daemon));
			this.kept = (daemon.rotation.isOut()) ? null : daemon;
			long intervalMs = 1_000L * CALLERS_PER_DAEMON / REQUESTS_PER_SECOND;
			at(CutOffSimulation.this.nowMs + intervalMs / 2 + CutOffSimulation.this.random.nextLong(intervalMs),
					this::send);
		}

		// All daemons of the data centre if fewer than half are in rotation, those of the
		// next data centre if none is.
		private Daemon balance() {
			int first = CutOffSimulation.this.dataCentres.indexOf(this.dataCentre);
			for (int offset = 0; offset < CutOffSimulation.this.dataCentres.size(); offset++) {
				List<Daemon> all = daemonsOf(CutOffSimulation.this.dataCentres
					.get((first + offset) % CutOffSimulation.this.dataCentres.size()));
				List<Daemon> in = all.stream().filter(Daemon::isInRotation).toList();
				if (!in.isEmpty()) {
					List<Daemon> used = (2 * in.size() < all.size()) ? all : in;
					return used.get(this.hash % used.size());
				}
			}
			return CutOffSimulation.this.daemons.get(this.hash % CutOffSimulation.this.daemons.size());
		}

	}

}
