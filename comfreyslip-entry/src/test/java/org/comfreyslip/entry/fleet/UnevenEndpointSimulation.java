package org.comfreyslip.entry.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

import org.comfreyslip.entry.model.Endpoint;

/**
 * Daemons in three data centres before endpoints of one plain service with six slots
 * each, in simulated time. The speeds of the endpoints are spread evenly from 1 to a
 * fifth. The demand of each data centre swings by 55% with a period of 15 s, a third of a
 * period after the one before it.
 */
final class UnevenEndpointSimulation {

	static final int SLOTS = 6;

	private static final double SERVICE_MS = 20;

	private static final double REMOTE_DELAY_MS = 1;

	private static final double PERIOD_MS = 15_000;

	private static final double SWING = 0.55;

	/** Time before the measurement, in ms, in which the daemons learn the speeds. */
	static final double WARM_UP_MS = 6_000;

	private final SplittableRandom random;

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Station> stations = new ArrayList<>();

	private final List<Endpoint> endpoints = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));

	private final List<Double> times = new ArrayList<>();

	private final double use;

	private final boolean exact;

	private long eventCount;

	private double nowMs;

	/** What a wrong sender makes of its figures. */
	private UnaryOperator<PlainLoads.Figures> misreport = UnaryOperator.identity();

	private String misreportedId = "";

	UnevenEndpointSimulation(int daemonCount, int endpointCount, double use, boolean exact, long seed) {
		this.random = new SplittableRandom(seed);
		this.use = use;
		this.exact = exact;
		for (int index = 0; index < endpointCount; index++) {
			this.stations.add(new Station(1 - 0.8 * index / (endpointCount - 1)));
			this.endpoints.add(new Endpoint("e" + index, 1, 1, "archive", new InetSocketAddress("10.0.0.1", 80 + index),
					dataCentre(index), false, Optional.empty(), Optional.empty(), SLOTS));
		}
		for (int index = 0; index < daemonCount; index++) {
			this.daemons.add(new Daemon("d" + index, dataCentre(index)));
		}
	}

	private static String dataCentre(int index) {
		return String.valueOf((char) ('a' + index % 3));
	}

	UnevenEndpointSimulation failing(int index, double share) {
		this.stations.get(index).failureShare = share;
		return this;
	}

	UnevenEndpointSimulation slow(int index, double fromMs, double toMs) {
		at(fromMs, () -> this.stations.get(index).slowdown = 5);
		at(toMs, () -> this.stations.get(index).slowdown = 1);
		return this;
	}

	UnevenEndpointSimulation misreporting(int index, UnaryOperator<PlainLoads.Figures> change) {
		this.misreportedId = "e" + index;
		this.misreport = change;
		return this;
	}

	UnevenEndpointSimulation run(double untilMs) {
		this.daemons.forEach(Daemon::start);
		at(0, this::arrive);
		while (!this.events.isEmpty() && this.events.peek().atMs() < untilMs) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
		return this;
	}

	// Returns the 99th percentile of the time from the send to the response, in ms.
	double p99Ms() {
		this.times.sort(Comparator.naturalOrder());
		return this.times.get((int) (0.99 * this.times.size()));
	}

	// Returns the sends to an endpoint in a time, as a part of its even share.
	double partOfEvenShare(int index, double fromMs, double toMs) {
		long all = 0;
		for (Station station : this.stations) {
			all += station.sendsIn(fromMs, toMs);
		}
		return this.stations.get(index).sendsIn(fromMs, toMs) * this.stations.size() / (double) all;
	}

	private long nowNanos() {
		return Math.round(this.nowMs * 1e6);
	}

	private void at(double atMs, Runnable action) {
		this.events.add(new Event(atMs, this.eventCount++, action));
	}

	// Arrivals follow the largest rate and are thinned to the present one.
	private void arrive() {
		double capacity = this.stations.stream().mapToDouble((one) -> SLOTS * one.speed / SERVICE_MS).sum();
		at(this.nowMs - Math.log(1 - this.random.nextDouble()) / (this.use * capacity * (1 + SWING)), this::arrive);
		Daemon daemon = this.daemons.get(this.random.nextInt(this.daemons.size()));
		double phase = 2 * Math.PI * (this.nowMs / PERIOD_MS + (daemon.dataCentre.charAt(0) - 'a') / 3.0);
		if (this.random.nextDouble() * (1 + SWING) < 1 + SWING * Math.sin(phase)) {
			daemon.send();
		}
	}

	private int leastWait(String dataCentre) {
		int best = 0;
		for (int index = 1; index < this.stations.size(); index++) {
			best = (expectedMs(index, dataCentre) < expectedMs(best, dataCentre)) ? index : best;
		}
		return best;
	}

	private double expectedMs(int index, String dataCentre) {
		Station station = this.stations.get(index);
		double rounds = 1 + Math.max(0, station.present + 1 - SLOTS) / (double) SLOTS;
		return rounds * SERVICE_MS * station.slowdown / station.speed + 2 * delayMs(index, dataCentre);
	}

	private double delayMs(int index, String dataCentre) {
		return (this.endpoints.get(index).dataCentre().equals(dataCentre)) ? 0 : REMOTE_DELAY_MS;
	}

	private record Event(double atMs, long number, Runnable action) {
	}

	/** An endpoint, which serves requests in the order of their arrival. */
	private final class Station {

		private final double speed;

		private double slowdown = 1;

		private double failureShare;

		/** Requests that were sent and have not been answered. */
		private int present;

		private int busy;

		private final Deque<Runnable> queue = new ArrayDeque<>();

		private final List<Double> sends = new ArrayList<>();

		Station(double speed) {
			this.speed = speed;
		}

		long sendsIn(double fromMs, double toMs) {
			return this.sends.stream().filter((one) -> one >= fromMs && one < toMs).count();
		}

		void accept(Runnable onEnd) {
			if (this.busy == SLOTS) {
				this.queue.add(onEnd);
				return;
			}
			this.busy++;
			double factor = 0.5 - 0.5 * Math.log(1 - UnevenEndpointSimulation.this.random.nextDouble());
			at(UnevenEndpointSimulation.this.nowMs + factor * SERVICE_MS * this.slowdown / this.speed, () -> {
				this.busy--;
				onEnd.run();
				Optional.ofNullable(this.queue.poll()).ifPresent(this::accept);
			});
		}

	}

	private final class Daemon {

		private final String name;

		private final String dataCentre;

		private final PlainLoads loads = new PlainLoads(0);

		private final LeastWaitSelector selector = new LeastWaitSelector(new EndpointFaults(), this.loads,
				UnevenEndpointSimulation.this.random.split());

		Daemon(String name, String dataCentre) {
			this.name = name;
			this.dataCentre = dataCentre;
		}

		// The intervals are those of the messages between daemons.
		void start() {
			int count = UnevenEndpointSimulation.this.daemons.size();
			double localMs = Math.max(200, 8 * (count / 3 - 1));
			double remoteMs = Math.max(800, 32 * (count - 1));
			SplittableRandom phases = UnevenEndpointSimulation.this.random;
			report(phases.nextDouble() * localMs, localMs, true);
			report(phases.nextDouble() * remoteMs, remoteMs, false);
		}

		private void report(double atMs, double intervalMs, boolean local) {
			at(atMs, () -> {
				report(atMs + intervalMs, intervalMs, local);
				Map<String, PlainLoads.Figures> figures = new HashMap<>(this.loads.ownFigures(nowNanos()));
				figures.computeIfPresent(UnevenEndpointSimulation.this.misreportedId,
						(id, own) -> UnevenEndpointSimulation.this.misreport.apply(own));
				for (Daemon other : UnevenEndpointSimulation.this.daemons) {
					if (other != this && other.dataCentre.equals(this.dataCentre) == local) {
						other.loads.onReport(this.name, this.dataCentre, figures, nowNanos());
					}
				}
				this.loads.update(nowNanos());
			});
		}

		void send() {
			UnevenEndpointSimulation all = UnevenEndpointSimulation.this;
			double sentMs = all.nowMs;
			long sentNanos = nowNanos();
			Endpoint chosen = (all.exact) ? all.endpoints.get(leastWait(this.dataCentre))
					: this.selector.choose(all.endpoints, List.of(), this.dataCentre, sentNanos).orElseThrow();
			int index = all.endpoints.indexOf(chosen);
			Station station = all.stations.get(index);
			station.sends.add(sentMs);
			station.present++;
			this.selector.recordDispatch(chosen.id(), sentNanos);
			boolean fails = all.random.nextDouble() < station.failureShare;
			Runnable onEnd = () -> at(all.nowMs + delayMs(index, this.dataCentre), () -> {
				station.present--;
				double tookMs = all.nowMs - sentMs;
				this.selector.recordCompletion(chosen.id(), sentNanos, (fails) ? -1 : tookMs, nowNanos());
				if (fails) {
					this.selector.recordFailure(chosen.id(), nowNanos());
				}
				else if (sentMs > WARM_UP_MS) {
					all.times.add(tookMs);
				}
			});
			at(sentMs + delayMs(index, this.dataCentre), () -> {
				if (fails) {
					onEnd.run();
				}
				else {
					station.accept(onEnd);
				}
			});
		}

	}

}
