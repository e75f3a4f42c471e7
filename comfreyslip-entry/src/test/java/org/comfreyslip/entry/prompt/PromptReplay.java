package org.comfreyslip.entry.prompt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.layers.PathFinder;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.peer.PeerSchedule;
import org.comfreyslip.entry.peer.WaitingPromptsExtension;

/**
 * Replays the prompts of many daemons at 98 engines in simulated time. Engines work in
 * steps: each processes up to 512 prompt tokens in order of arrival, beside one token of
 * each other stream; a chunk goes on to the next stage when its step ends.
 */
final class PromptReplay {

	static final double FIRST_EVENT_TARGET_MS = 500;

	private static final double GAP_TARGET_MS = 250;

	private static final int CHUNK_TOKENS = 512;

	private static final double HANDOFF_MS = 0.25;

	private static final double REMOTE_HANDOFF_MS = 8;

	private static final double WARM_UP_MS = 15_000;

	private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

	private final EngineSpec spec;

	private final List<Endpoint> engines;

	private final Map<String, Engine> states = new HashMap<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	/** Whether a chunk goes on to the next stage before the whole prompt is processed. */
	private final boolean pipelined;

	private final SplittableRandom random;

	private double nowMs;

	private long eventCount;

	/** Times to the first event after the warm-up, in ms. */
	final List<Double> shortMs = new ArrayList<>();

	final List<Double> longMs = new ArrayList<>();

	int refused;

	PromptReplay(int daemonCount, long seed, boolean pipelined) {
		this.pipelined = pipelined;
		this.spec = Samples.manyEngines();
		this.engines = Samples.place(this.spec, Samples.manyEmptyEngines());
		this.random = new SplittableRandom(seed);
		this.engines.forEach((one) -> this.states.put(one.id(), new Engine(one)));
		for (int index = 0; index < daemonCount; index++) {
			this.daemons.add(new Daemon("d" + index, DATA_CENTRES.get(index % DATA_CENTRES.size())));
		}
	}

	// Plays arrivals; without long prompts, only the short ones of the same arrivals.
	void play(double perSecond, double shortCount, boolean withLong) {
		double endMs = WARM_UP_MS + 1_000 * shortCount / (0.9 * perSecond);
		SplittableRandom arrivals = this.random.split();
		this.daemons.forEach(Daemon::scheduleMessages);
		double atMs = 0;
		while (atMs < endMs) {
			atMs -= Math.log(1 - arrivals.nextDouble()) * 1_000 / perSecond;
			Daemon daemon = this.daemons.get(arrivals.nextInt(this.daemons.size()));
			boolean isLong = arrivals.nextInt(10) == 0;
			int tokens = (isLong) ? arrivals.nextInt(1_520, 2_281) : arrivals.nextInt(506, 761);
			int response = arrivals.nextInt(86, 257);
			if (withLong || !isLong) {
				at(atMs, () -> daemon.send(tokens, response));
			}
		}
		while (!this.events.isEmpty() && this.nowMs < endMs) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
	}

	static double p99(List<Double> values) {
		double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		return sorted[(int) Math.ceil(0.99 * sorted.length) - 1];
	}

	private void at(double atMs, Runnable action) {
		this.events.add(new Event(atMs, this.eventCount++, action));
	}

	private long nowNanos() {
		return (long) (this.nowMs * 1e6);
	}

	private record Event(double atMs, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Double.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

	/** Tokens of a prompt that wait at one stage of its path. */
	private static final class Chunk {

		private final Stream stream;

		private final int stage;

		private int tokens;

		Chunk(Stream stream, int stage, int tokens) {
			this.stream = stream;
			this.stage = stage;
			this.tokens = tokens;
		}

	}

	private final class Engine {

		private final AcceleratorKind kind;

		private final int held;

		private final Deque<Chunk> queue = new ArrayDeque<>();

		private boolean busy;

		private int streams;

		private double contextTokens;

		/** Steps that the tokens of its streams need, per ms. */
		private double stepsPerMs;

		Engine(Endpoint endpoint) {
			this.kind = PromptReplay.this.spec.kinds().get(endpoint.accelerator().orElseThrow());
			this.held = endpoint.layers().map((range) -> range.size()).orElse(0);
		}

		double stepMs(int layers) {
			EngineSpec spec = PromptReplay.this.spec;
			return this.kind.stepFactor() * layers / spec.layers() * (spec.stepMs()
					+ spec.stepMsPerSequence() * this.streams + spec.stepMsPerContextToken() * this.contextTokens);
		}

		double busyShare() {
			return Math.min(0.95, this.stepsPerMs * stepMs(this.held));
		}

		void add(Chunk chunk) {
			this.queue.add(chunk);
			if (!this.busy) {
				this.busy = true;
				SplittableRandom random = PromptReplay.this.random;
				// The step of other streams that runs on arrival is completed first.
				double restMs = (random.nextDouble() < busyShare()) ? random.nextDouble() * stepMs(this.held) : 0;
				at(PromptReplay.this.nowMs + restMs, this::step);
			}
		}

		void step() {
			if (this.queue.isEmpty()) {
				this.busy = false;
				return;
			}
			int left = CHUNK_TOKENS;
			double prefillMs = 0;
			int layers = 0;
			List<Chunk> done = new ArrayList<>();
			while (left > 0 && !this.queue.isEmpty()) {
				Chunk first = this.queue.peek();
				int part = Math.min(left, first.tokens);
				int stageLayers = first.stream.path.stages().get(first.stage).layers().size();
				prefillMs += this.kind.prefillFactor() * part / PromptReplay.this.spec.prefillTokensPerMs()
						* stageLayers / PromptReplay.this.spec.layers();
				layers = Math.max(layers, stageLayers);
				done.add(new Chunk(first.stream, first.stage, part));
				first.tokens -= part;
				left -= part;
				if (first.tokens == 0) {
					this.queue.remove();
				}
			}
			at(PromptReplay.this.nowMs + prefillMs + stepMs(layers), () -> {
				done.forEach((chunk) -> chunk.stream.onStageDone(chunk));
				step();
			});
		}

	}

	private final class Stream {

		private final Daemon daemon;

		private final LayerPath path;

		private final int prompt;

		private final int response;

		private final double arrivedAtMs;

		/** Tokens that are done at each stage. */
		private final int[] done;

		Stream(Daemon daemon, LayerPath path, int prompt, int response) {
			this.daemon = daemon;
			this.path = path;
			this.done = new int[path.stages().size()];
			this.prompt = prompt;
			this.response = response;
			this.arrivedAtMs = PromptReplay.this.nowMs;
		}

		private Engine engine(int stage) {
			return PromptReplay.this.states.get(this.path.stages().get(stage).endpoint().id());
		}

		private double handoffMs(int stage) {
			String from = this.path.stages().get(stage).endpoint().dataCentre();
			String to = this.path.stages().get(stage + 1).endpoint().dataCentre();
			return HANDOFF_MS + ((from.equals(to)) ? 0 : REMOTE_HANDOFF_MS);
		}

		void onStageDone(Chunk chunk) {
			this.done[chunk.stage] += chunk.tokens;
			boolean complete = this.done[chunk.stage] == this.prompt;
			if (chunk.stage + 1 < this.path.stages().size()) {
				if (complete || PromptReplay.this.pipelined) {
					int tokens = (PromptReplay.this.pipelined) ? chunk.tokens : this.prompt;
					at(PromptReplay.this.nowMs + handoffMs(chunk.stage),
							() -> engine(chunk.stage + 1).add(new Chunk(this, chunk.stage + 1, tokens)));
				}
			}
			else if (complete) {
				onFirstEvent();
			}
		}

		private void onFirstEvent() {
			this.daemon.waiting.recordStart(this, nowNanos());
			if (this.arrivedAtMs >= WARM_UP_MS) {
				((this.prompt > PromptReplay.this.spec.meanPromptTokens()) ? PromptReplay.this.longMs
						: PromptReplay.this.shortMs)
					.add(PromptReplay.this.nowMs - this.arrivedAtMs);
			}
			double tokenMs = 0;
			for (int stage = 0; stage < this.path.stages().size(); stage++) {
				Engine engine = engine(stage);
				tokenMs += engine.stepMs(this.path.stages().get(stage).layers().size()) * (1 + engine.busyShare() / 2)
						+ ((stage + 1 < this.path.stages().size()) ? handoffMs(stage) : 0);
			}
			double stepsPerMs = 1 / tokenMs;
			changeLoad(1, stepsPerMs);
			at(PromptReplay.this.nowMs + this.response * tokenMs, () -> {
				changeLoad(-1, stepsPerMs);
				this.daemon.loads.release(this.path, this.prompt + this.response);
			});
		}

		private void changeLoad(int sign, double stepsPerMs) {
			for (int stage = 0; stage < this.path.stages().size(); stage++) {
				engine(stage).streams += sign;
				engine(stage).stepsPerMs += sign * stepsPerMs;
				engine(stage).contextTokens += sign * (this.prompt + this.response / 2.0);
			}
		}

	}

	private final class Daemon {

		private final String name;

		private final String dataCentre;

		private final LayerLoads loads = new LayerLoads(PromptReplay.this.random.split());

		private final WaitingPrompts waiting = new WaitingPrompts();

		private final PromptPaths paths = new PromptPaths(this.waiting);

		/**
		 * Loads as the other daemons know them, by whether they are in this data centre.
		 */
		private final Map<Boolean, Map<String, LayerLoads.Load>> sent = new HashMap<>(
				Map.of(true, Map.of(), false, Map.of()));

		private final WaitingPromptsExtension extension = new WaitingPromptsExtension(this.waiting,
				PromptReplay.this::nowNanos);

		/** Whether messages have arrived since the reports were added up. */
		private boolean reportsChanged;

		Daemon(String name, String dataCentre) {
			this.name = name;
			this.dataCentre = dataCentre;
		}

		void scheduleMessages() {
			int others = PromptReplay.this.daemons.size() - 1;
			double localMs = PeerSchedule.localIntervalMs(others / DATA_CENTRES.size());
			at(PromptReplay.this.random.nextDouble() * localMs, () -> sendLocally(localMs));
			double remoteMs = PeerSchedule.remoteIntervalMs(others);
			at(PromptReplay.this.random.nextDouble() * remoteMs, () -> sendRemotely(remoteMs));
		}

		private void sendLocally(double intervalMs) {
			send(true);
			this.reportsChanged = true;
			at(PromptReplay.this.nowMs + intervalMs, () -> sendLocally(intervalMs));
		}

		private void addUpReports() {
			if (!this.reportsChanged) {
				return;
			}
			this.reportsChanged = false;
			Map<String, LayerLoads.Load> sum = new HashMap<>();
			for (Daemon other : PromptReplay.this.daemons) {
				if (other != this) {
					other.sent.get(other.dataCentre.equals(this.dataCentre))
						.forEach((id, load) -> sum.merge(id, load, LayerLoads.Load::plus));
				}
			}
			this.loads.setPeerLoads(new LayerLoads.PeerLoads(sum, PromptReplay.this.daemons.size() - 1, 0), nowNanos());
		}

		private void sendRemotely(double intervalMs) {
			send(false);
			this.loads.markReported();
			at(PromptReplay.this.nowMs + intervalMs, () -> sendRemotely(intervalMs));
		}

		private void send(boolean locally) {
			this.sent.put(locally, Map.copyOf(this.loads.ownLoads()));
			Optional<byte[]> block = this.extension.content(nowNanos());
			for (Daemon other : PromptReplay.this.daemons) {
				if (other != this && locally == other.dataCentre.equals(this.dataCentre)) {
					other.extension.onContent(this.name, this.dataCentre, block, nowNanos());
				}
			}
		}

		void send(int tokens, int response) {
			addUpReports();
			PathFinder finder = new PathFinder(PromptReplay.this.spec, this.loads, new EngineSlowdowns());
			Prompt prompt = new Prompt(PromptReplay.this.spec, tokens, FIRST_EVENT_TARGET_MS, GAP_TARGET_MS);
			Optional<LayerPath> found = this.paths.find(prompt, (costs) -> finder.find(PromptReplay.this.engines,
					this.dataCentre, tokens + response, (first) -> true, costs, nowNanos()), nowNanos());
			if (found.isEmpty()) {
				PromptReplay.this.refused++;
				return;
			}
			this.loads.reserve(found.get(), tokens + response);
			Stream stream = new Stream(this, found.get(), tokens, response);
			this.waiting.recordSend(stream, prompt, found.get(), nowNanos());
			stream.engine(0).add(new Chunk(stream, 0, tokens));
		}

	}

}
