package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.comfreyslip.entry.layers.EngineControl;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Asks engines whether they answer. All streams that ask about one engine at about the
 * same time share one question, because questions are priced.
 */
final class EngineProbes {

	/**
	 * Age up to which an answer is used again, in ns: streams that stop together notice
	 * it within two events of each other.
	 */
	private static final long KEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private final EngineControl engines;

	private final Map<String, List<Consumer<Boolean>>> waiting = new HashMap<>();

	private final Map<String, Result> results = new HashMap<>();

	EngineProbes(EngineControl engines) {
		this.engines = engines;
	}

	// Takes whether the engine answers, at once if that was found out just now.
	void ask(Endpoint endpoint, long nowNanos, Consumer<Boolean> done) {
		this.results.values().removeIf((result) -> nowNanos - result.atNanos() > KEEP_NANOS);
		Result known = this.results.get(endpoint.id());
		if (known != null) {
			done.accept(known.answers());
			return;
		}
		List<Consumer<Boolean>> others = this.waiting.get(endpoint.id());
		if (others != null) {
			others.add(done);
			return;
		}
		this.waiting.put(endpoint.id(), new ArrayList<>(List.of(done)));
		this.engines.probe(endpoint, (answers) -> {
			this.results.put(endpoint.id(), new Result(answers, System.nanoTime()));
			this.waiting.remove(endpoint.id()).forEach((one) -> one.accept(answers));
		});
	}

	private record Result(boolean answers, long atNanos) {
	}

}
