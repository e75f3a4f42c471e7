package org.comfreyslip.routing.pipeline;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreyslip.routing.pipeline.PipelineAction.SendStep;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * Engines in memory whose output depends on every layer pass, so that a missing, repeated
 * or reordered pass changes the response.
 */
final class FakeEngines {

	private static final long MULTIPLIER = 6364136223846793005L;

	private static final int VOCABULARY = 1000;

	private final int layers;

	/** Per engine and stream: the positions held and each layer's state. */
	private final Map<String, Cache> caches = new HashMap<>();

	FakeEngines(int layers) {
		this.layers = layers;
	}

	static List<Integer> expectedResponse(int layers, List<Integer> prompt, int tokens) {
		FakeEngines reference = new FakeEngines(layers);
		List<Integer> known = new ArrayList<>(prompt);
		int done = 0;
		for (int i = 0; i < tokens; i++) {
			LayerRange all = new LayerRange(0, layers);
			StepId id = new StepId("r", 1, done, known.size() - done, all, StepKind.DECODE);
			StepResult result = reference.run(new SendStep("e", id, known.subList(done, known.size()), new byte[0]));
			done = known.size();
			known.add(result.token().get().id());
		}
		return known.subList(prompt.size(), known.size());
	}

	StepResult run(SendStep step) {
		Cache cache = cacheFor(step);
		StepId id = step.id();
		if (cache.positions != id.position()) {
			throw new IllegalStateException(step.engine() + " holds " + cache.positions + " positions but got " + id);
		}
		ByteBuffer output = ByteBuffer.allocate(Long.BYTES * id.count());
		ByteBuffer input = ByteBuffer.wrap(step.input());
		long value = 0;
		for (int i = 0; i < id.count(); i++) {
			value = (id.layers().first() == 0) ? step.tokens().get(i) : input.getLong();
			for (int layer = id.layers().first(); layer < id.layers().end(); layer++) {
				cache.state[layer] = cache.state[layer] * MULTIPLIER + value;
				value = (value ^ cache.state[layer]) * MULTIPLIER + layer;
			}
			output.putLong(value);
		}
		cache.positions += id.count();
		if (id.layers().end() < this.layers) {
			return new StepResult(output.array(), Optional.empty());
		}
		int token = (int) Math.floorMod(value, (long) VOCABULARY);
		return new StepResult(new byte[0], Optional.of(new GeneratedToken(token, "t" + token, false)));
	}

	boolean holds(String engine, int positions) {
		Cache cache = this.caches.get(engine);
		return cache != null && cache.positions == positions;
	}

	boolean transfer(String from, String to, int positions) {
		if (!holds(from, positions)) {
			return false;
		}
		this.caches.put(to, this.caches.get(from).copy());
		return true;
	}

	void loseCache(String engine) {
		this.caches.remove(engine);
	}

	private Cache cacheFor(SendStep step) {
		if (step.id().kind() == StepKind.REBUILD_DISCARD) {
			return new Cache(this.layers);
		}
		if (step.id().kind() == StepKind.REBUILD_KEEP) {
			this.caches.remove(step.engine());
		}
		return this.caches.computeIfAbsent(step.engine(), (name) -> new Cache(this.layers));
	}

	private static final class Cache {

		private final long[] state;

		private int positions;

		private Cache(int layers) {
			this.state = new long[layers];
		}

		private Cache copy() {
			Cache copy = new Cache(this.state.length);
			System.arraycopy(this.state, 0, copy.state, 0, this.state.length);
			copy.positions = this.positions;
			return copy;
		}

	}

}
