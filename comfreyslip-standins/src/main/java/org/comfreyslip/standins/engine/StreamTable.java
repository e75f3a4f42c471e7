package org.comfreyslip.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Streams by name. Streams that were not used for the longest time are dropped. Not
 * thread-safe.
 */
final class StreamTable {

	private static final int MAX_STREAMS = 50_000;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<String, EngineStream> streams = new LinkedHashMap<>(64, LOAD_FACTOR, true);

	EngineStream get(String name) {
		EngineStream stream = this.streams.computeIfAbsent(name, EngineStream::new);
		if (this.streams.size() > MAX_STREAMS) {
			this.streams.remove(this.streams.keySet().iterator().next());
		}
		return stream;
	}

	EngineStream find(String name) {
		return this.streams.get(name);
	}

	void forEach(Consumer<EngineStream> action) {
		this.streams.values().forEach(action);
	}

}
