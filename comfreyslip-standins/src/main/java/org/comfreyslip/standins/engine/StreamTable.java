package org.comfreyslip.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Streams by name. Streams that were not used for the longest time are dropped. Not
 * thread-safe.
 */
final class StreamTable {

	private static final int MAX_STREAMS = 50_000;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<String, EngineStream> streams = new LinkedHashMap<>(64, LOAD_FACTOR, true);

	private int positionsHeld;

	EngineStream get(String name) {
		EngineStream stream = this.streams.computeIfAbsent(name, EngineStream::new);
		if (this.streams.size() > MAX_STREAMS) {
			String oldest = this.streams.keySet().iterator().next();
			this.positionsHeld -= this.streams.remove(oldest).kv().size();
		}
		return stream;
	}

	// Changes the KV cache of a stream and keeps the count of positions.
	<T> T change(EngineStream stream, Supplier<T> action) {
		int before = stream.kv().size();
		try {
			return action.get();
		}
		finally {
			this.positionsHeld += stream.kv().size() - before;
		}
	}

	int positionsHeld() {
		return this.positionsHeld;
	}

	// Drops the KV caches of streams that no router has used for a time.
	void releaseIdle(long nowNanos, long idleNanos) {
		for (EngineStream stream : this.streams.values()) {
			if (stream.isIdle(nowNanos, idleNanos)) {
				release(stream);
			}
		}
	}

	void releaseAll() {
		this.streams.values().forEach(this::release);
	}

	private void release(EngineStream stream) {
		this.positionsHeld -= stream.kv().size();
		stream.kv().clear();
	}

	EngineStream find(String name) {
		return this.streams.get(name);
	}

	void forEach(Consumer<EngineStream> action) {
		this.streams.values().forEach(action);
	}

}
