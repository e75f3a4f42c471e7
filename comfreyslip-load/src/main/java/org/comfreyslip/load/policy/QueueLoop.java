package org.comfreyslip.load.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.HdrHistogram.Histogram;
import org.comfreyslip.routing.bound.ThroughputBound;
import org.comfreyslip.routing.endpoint.EndpointCall;
import org.comfreyslip.routing.endpoint.EndpointTable;

/**
 * Discrete-event loop of first-come-first-served queues, one per engine. Each daemon
 * selects engines with its own endpoint table. The only network model is a constant link
 * time.
 */
public final class QueueLoop {

	/** Latency up to which a call counts as in time, in ns. */
	public static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long LINK_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

	private static final long REPORT_EVERY_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long REPORT_LAG_NANOS = TimeUnit.SECONDS.toNanos(1);

	// The endpoints' slow start is over before the first call.
	private static final long START_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final String GROUP = "engines";

	private final PolicyCase settings;

	private final RandomGenerator random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<EndpointTable> daemons = new ArrayList<>();

	private final List<Deque<Call>> queues = new ArrayList<>();

	private final Histogram latencies = new Histogram(3);

	private final double bound;

	private final long measureFrom = START_NANOS + WARM_UP_NANOS;

	private final long end;

	private long order;

	private long offered;

	private long completed;

	private long inTime;

	private int longestQueue;

	/**
	 * Creates a loop.
	 * @param settings the case
	 */
	public QueueLoop(PolicyCase settings) {
		this.settings = settings;
		this.random = new SplittableRandom(settings.seed());
		this.end = this.measureFrom + TimeUnit.SECONDS.toNanos(settings.seconds());
		List<String> names = IntStream.range(0, settings.engines()).mapToObj(Integer::toString).toList();
		for (int i = 0; i < settings.daemons(); i++) {
			EndpointTable table = new EndpointTable();
			table.setLiveDaemons(settings.daemons());
			table.setEndpoints(GROUP, names, 0);
			this.daemons.add(table);
		}
		names.forEach((name) -> this.queues.add(new ArrayDeque<>()));
		this.bound = ThroughputBound.ofService(IntStream.range(0, settings.engines())
			.mapToObj((engine) -> 1e9 / settings.mix().serviceNanos(engine))
			.toList());
	}

	/**
	 * Runs the case.
	 * @return the result
	 */
	public PolicyResult run() {
		at(START_NANOS, this::arrive);
		for (int engine = 0; engine < this.queues.size(); engine++) {
			int number = engine;
			at(START_NANOS + this.random.nextLong(REPORT_EVERY_NANOS), (now) -> report(number, now));
		}
		while (!this.events.isEmpty() && this.events.peek().atNanos() < this.end) {
			Event event = this.events.remove();
			event.action().run(event.atNanos());
		}
		return new PolicyResult(this.settings, this.bound, this.offered, this.completed, this.inTime, this.latencies,
				this.longestQueue);
	}

	private void arrive(long now) {
		double rate = this.bound * this.settings.loadPercent() / 100;
		at(now + (long) (this.random.nextExponential() * 1e9 / rate), this::arrive);
		this.offered += (now >= this.measureFrom) ? 1 : 0;
		int daemon = this.random.nextInt(this.daemons.size());
		EndpointCall call = this.daemons.get(daemon)
			.startCall(GROUP, this.settings.policy(), Set.of(), true, now, this.random)
			.orElseThrow();
		int engine = Integer.parseInt(call.entry().name());
		long service = (long) (this.settings.mix().serviceNanos(engine) * (0.5 + this.random.nextDouble()));
		at(now + LINK_NANOS, (arrived) -> enqueue(new Call(daemon, call, now, service), engine, arrived));
	}

	private void enqueue(Call call, int engine, long now) {
		Deque<Call> queue = this.queues.get(engine);
		queue.add(call);
		this.longestQueue = Math.max(this.longestQueue, queue.size());
		if (queue.size() == 1) {
			at(now + call.serviceNanos(), (done) -> complete(engine, done));
		}
	}

	private void complete(int engine, long now) {
		Deque<Call> queue = this.queues.get(engine);
		Call call = queue.remove();
		at(now + LINK_NANOS, (arrived) -> respond(call, arrived));
		if (!queue.isEmpty()) {
			at(now + queue.peek().serviceNanos(), (done) -> complete(engine, done));
		}
	}

	private void respond(Call call, long now) {
		this.daemons.get(call.daemon()).recordSuccess(call.call(), now, call.serviceNanos());
		if (now < this.measureFrom) {
			return;
		}
		long latency = now - call.startNanos();
		this.completed++;
		this.inTime += (latency <= DEADLINE_NANOS) ? 1 : 0;
		this.latencies.recordValue(TimeUnit.NANOSECONDS.toMicros(latency));
	}

	private void report(int engine, long now) {
		int queue = this.queues.get(engine).size();
		String name = Integer.toString(engine);
		at(now + REPORT_LAG_NANOS, (arrived) -> this.daemons
			.forEach((daemon) -> daemon.find(name).orElseThrow().load().onLoadReport(queue, now)));
		at(now + REPORT_EVERY_NANOS, (next) -> report(engine, next));
	}

	private void at(long nanos, Action action) {
		this.events.add(new Event(nanos, this.order++, action));
	}

	/**
	 * What happens at an event.
	 */
	@FunctionalInterface
	private interface Action {

		void run(long nowNanos);

	}

	/**
	 * An event. Events of the same time run in the order in which they were added, so
	 * that a seed gives the same run each time.
	 *
	 * @param atNanos when it happens, in ns
	 * @param order its number
	 * @param action what happens
	 */
	private record Event(long atNanos, long order, Action action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	/**
	 * A call.
	 *
	 * @param daemon the number of the daemon
	 * @param call the call as its endpoint table knows it
	 * @param startNanos when it started, in ns
	 * @param serviceNanos its time at the engine, in ns
	 */
	private record Call(int daemon, EndpointCall call, long startNanos, long serviceNanos) {
	}

}
