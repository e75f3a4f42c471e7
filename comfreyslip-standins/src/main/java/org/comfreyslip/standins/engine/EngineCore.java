package org.comfreyslip.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.comfreyslip.clients.engine.BlockHash;
import org.comfreyslip.clients.engine.CacheEventPage;
import org.comfreyslip.clients.engine.EngineLoad;
import org.comfreyslip.clients.engine.EngineOrder;
import org.comfreyslip.clients.engine.EngineState;
import org.comfreyslip.clients.engine.KvCache;
import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * State of the engine. All methods hold one lock; none waits.
 */
final class EngineCore {

	private final EngineSettings settings;

	private final BooleanSupplier leaving;

	private final StepRunner runner;

	private final LoadedModel loaded;

	private final StreamTable streams = new StreamTable();

	private final CacheEventLog events;

	private final PrefixCache cache;

	private final LoadReport load;

	private final PriorityBlockingQueue<EngineStep> queue;

	private long sequence;

	private int running;

	EngineCore(EngineSettings settings, BooleanSupplier leaving) {
		this.settings = settings;
		this.leaving = leaving;
		this.runner = new StepRunner(settings);
		this.loaded = new LoadedModel(settings);
		this.events = new CacheEventLog(settings.cacheEventLagMillis(), settings.cacheEventGap());
		this.cache = new PrefixCache(settings.cacheBlocks(), this.events);
		this.load = new LoadReport(settings.loadLagMillis(), this::measure);
		this.queue = new PriorityBlockingQueue<>(16, EngineStep.ORDER);
	}

	// Steps that wait; only the batch loop takes from it.
	PriorityBlockingQueue<EngineStep> queue() {
		return this.queue;
	}

	// Queues a step, or returns the stored or coming result of the same step.
	synchronized CompletableFuture<StepReply> accept(StepRequest step) {
		this.loaded.requireServes(step);
		this.runner.check(step);
		EngineStream stream = this.streams.get(step.stream());
		stream.enter(step.attempt());
		StepIdentity identity = StepIdentity.of(step);
		CompletableFuture<StepReply> known = stream.result(identity);
		if (known != null) {
			return known;
		}
		EngineStep queued = new EngineStep(step, this.sequence++, new CompletableFuture<>());
		stream.store(identity, queued.future());
		this.queue.add(queued);
		return queued.future();
	}

	// Returns the time that a batch takes. Steps of an ended attempt take none.
	synchronized long begin(List<EngineStep> batch) {
		this.running = batch.size();
		long micros = 0;
		int layers = 0;
		for (EngineStep step : batch) {
			if (this.streams.get(step.request().stream()).isStale(step.request().attempt())) {
				continue;
			}
			layers = Math.max(layers, step.range().count());
			micros += stepMicros(step.request());
		}
		return (micros + (long) layers * this.settings.layerMicros()) * 1_000;
	}

	// Runs a batch and returns what completes its futures, to be run without the lock.
	synchronized List<Runnable> finish(List<EngineStep> batch, long nowNanos) {
		List<Runnable> completions = new ArrayList<>();
		for (EngineStep step : batch) {
			try {
				StepReply reply = run(step, nowNanos);
				completions.add(() -> step.future().complete(reply));
			}
			catch (RuntimeException ex) {
				forget(step);
				completions.add(() -> step.future().completeExceptionally(ex));
			}
		}
		this.running = 0;
		return completions;
	}

	synchronized void cancel(String name, int attempt) {
		EngineStream stream = this.streams.get(name);
		this.streams.change(stream, () -> {
			stream.close(attempt);
			return stream;
		});
	}

	synchronized KvCache exportKv(String name) {
		EngineStream stream = this.streams.find(name);
		int positions = (stream != null) ? stream.kv().positions(this.loaded.range()) : 0;
		if (positions == 0) {
			throw new CodedException(ErrorCode.KV_MISSING, "no KV cache for stream " + name);
		}
		return new KvCache(positions, stream.kv().write());
	}

	synchronized void importKv(String name, KvCache imported, long nowNanos) {
		EngineStream stream = this.streams.get(name);
		stream.touch(nowNanos);
		requireMemory(imported.positions() - stream.kv().size(), nowNanos);
		this.streams.change(stream, () -> {
			stream.kv().read(imported.data(), this.loaded.range());
			return stream;
		});
	}

	synchronized EngineLoad load(long nowNanos) {
		return this.load.read(nowNanos);
	}

	synchronized CacheEventPage cacheEvents(long from, long nowNanos) {
		return this.events.read(from, nowNanos);
	}

	synchronized void fence(EngineOrder order) {
		this.loaded.fence(order);
	}

	// Carries an order out. The number is checked again, because a load takes time.
	synchronized EngineState carryOut(EngineOrder order) {
		this.loaded.fence(order);
		if (this.loaded.apply(order)) {
			this.streams.releaseAll();
			this.cache.clear();
		}
		return this.loaded.state();
	}

	synchronized EngineState state() {
		return this.loaded.state();
	}

	synchronized PassCounts passes(String stream) {
		List<PassCount> counts = new ArrayList<>();
		this.streams.forEach((each) -> counts.addAll(each.passes(stream)));
		return new PassCounts(counts);
	}

	private StepReply run(EngineStep queued, long nowNanos) {
		StepRequest step = queued.request();
		LayerRange range = queued.range();
		EngineStream stream = this.streams.get(step.stream());
		stream.enter(step.attempt());
		this.loaded.requireServes(step);
		this.runner.checkPosition(step, range, stream.kv());
		stream.touch(nowNanos);
		if (step.kind() != StepKind.REBUILD_DISCARD) {
			requireMemory(step.position() + step.count() - stream.kv().size(), nowNanos);
		}
		int cached = cachedPositions(step);
		long[] values = this.streams.change(stream, () -> this.runner.run(step, range, stream.kv()));
		if (this.settings.recordsPasses()) {
			stream.countPass(step);
		}
		this.cache.store(hashes(step), nowNanos);
		return new StepReply(step.stream(), step.attempt(), step.position(), step.count(), step.firstLayer(),
				step.endLayer(), this.runner.output(step, values), this.runner.token(step, values),
				this.load.read(nowNanos), cached);
	}

	private void forget(EngineStep step) {
		EngineStream stream = this.streams.find(step.request().stream());
		if (stream != null) {
			stream.forget(StepIdentity.of(step.request()));
		}
	}

	private void requireMemory(int more, long nowNanos) {
		if (more > kvFree()) {
			this.streams.releaseIdle(nowNanos, TimeUnit.MILLISECONDS.toNanos(this.settings.streamIdleMillis()));
		}
		if (more > Math.max(0, kvFree())) {
			throw new CodedException(ErrorCode.OVERLOADED, "the KV memory is full: " + this.streams.positionsHeld()
					+ " of " + this.settings.kvPositions() + " positions are taken");
		}
	}

	private long stepMicros(StepRequest step) {
		if (step.count() == 1) {
			return this.settings.itemMicros();
		}
		return (long) (step.count() - cachedPositions(step)) * this.settings.prefillMicros();
	}

	private int cachedPositions(StepRequest step) {
		return this.cache.cachedPositions(hashes(step));
	}

	private long[] hashes(StepRequest step) {
		boolean wholePrompt = step.position() == 0 && step.firstLayer() == 0;
		return (wholePrompt) ? BlockHash.of(step.tokens()) : new long[0];
	}

	private EngineLoad measure() {
		return new EngineLoad(this.queue.size(), this.running, kvFree(), this.leaving.getAsBoolean());
	}

	private int kvFree() {
		return this.settings.kvPositions() - this.streams.positionsHeld();
	}

}
