package org.comfreyslip.standins.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * What the engine knows of one stream. Not thread-safe.
 */
final class EngineStream {

	/** A router has one step of a stream in flight, so few results can be asked again. */
	private static final int STORED_RESULTS = 16;

	private final String name;

	private final KvState kv = new KvState();

	private final Map<StepIdentity, CompletableFuture<StepReply>> results = new LinkedHashMap<>();

	private final Map<Pass, Integer> passes = new LinkedHashMap<>();

	private int attempt = Integer.MIN_VALUE;

	private boolean closed;

	private long lastUsedNanos;

	EngineStream(String name) {
		this.name = name;
	}

	void touch(long nowNanos) {
		this.lastUsedNanos = nowNanos;
	}

	boolean isIdle(long nowNanos, long idleNanos) {
		return nowNanos - this.lastUsedNanos >= idleNanos;
	}

	KvState kv() {
		return this.kv;
	}

	// Takes a newer attempt as the current one, and refuses an older or ended one.
	void enter(int newest) {
		if (isStale(newest)) {
			throw new CodedException(ErrorCode.STALE_ATTEMPT, "stream " + this.name + " is at attempt " + this.attempt
					+ ((this.closed) ? ", which was cancelled" : "") + ", not " + newest);
		}
		if (newest > this.attempt) {
			this.attempt = newest;
			this.closed = false;
			this.results.clear();
		}
	}

	boolean isStale(int other) {
		return other < this.attempt || other == this.attempt && this.closed;
	}

	// Ends an attempt and drops the KV cache. A newer attempt is not affected.
	void close(int ended) {
		if (ended < this.attempt) {
			return;
		}
		this.attempt = ended;
		this.closed = true;
		this.results.clear();
		this.kv.clear();
	}

	CompletableFuture<StepReply> result(StepIdentity identity) {
		return this.results.get(identity);
	}

	void store(StepIdentity identity, CompletableFuture<StepReply> result) {
		this.results.put(identity, result);
		if (this.results.size() > STORED_RESULTS) {
			this.results.remove(this.results.keySet().iterator().next());
		}
	}

	void forget(StepIdentity identity) {
		this.results.remove(identity);
	}

	void countPass(StepRequest step) {
		this.passes.merge(Pass.of(step), 1, Integer::sum);
	}

	// Returns the counts if the stream has the name or the name is empty.
	List<PassCount> passes(String wanted) {
		List<PassCount> counts = new ArrayList<>();
		if (!wanted.isEmpty() && !wanted.equals(this.name)) {
			return counts;
		}
		this.passes.forEach((pass, runs) -> {
			for (int index = 0; index < pass.count(); index++) {
				counts.add(new PassCount(this.name, pass.position() + index, pass.firstLayer(), pass.endLayer(),
						pass.kind(), runs));
			}
		});
		return counts;
	}

	private record Pass(int position, int count, int firstLayer, int endLayer, StepKind kind) {

		static Pass of(StepRequest step) {
			return new Pass(step.position(), step.count(), step.firstLayer(), step.endLayer(), step.kind());
		}

	}

}
