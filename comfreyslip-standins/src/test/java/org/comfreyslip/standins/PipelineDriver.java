package org.comfreyslip.standins;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.Priority;

/**
 * Runs a response step by step over engine stand-ins, without recovery.
 */
public final class PipelineDriver {

	private static final int LIMIT_MILLIS = 10_000;

	private final String stream;

	private final int[] prompt;

	private final List<Integer> tokens = new ArrayList<>();

	private int attempt = 1;

	public PipelineDriver(String stream, int... prompt) {
		this.stream = stream;
		this.prompt = prompt;
	}

	public static EngineClient client(HttpTransport http, StandinServer server) {
		return new EngineClient(http, server.address(), LIMIT_MILLIS);
	}

	public void nextAttempt() {
		this.attempt++;
	}

	public int[] tokens() {
		return this.tokens.stream().mapToInt(Integer::intValue).toArray();
	}

	/** Prompt and emitted tokens that earlier steps passed. */
	public int[] passed() {
		IntStream emitted = Arrays.stream(tokens()).limit(Math.max(0, this.tokens.size() - 1));
		return IntStream.concat(Arrays.stream(this.prompt), emitted).toArray();
	}

	public StepRequest first(StepKind kind, LayerRange range) {
		if (kind.isRebuild()) {
			return request(kind, 0, passed(), null, passed().length, range);
		}
		if (kind == StepKind.PREFILL) {
			return request(kind, 0, this.prompt, null, this.prompt.length, range);
		}
		int[] last = { this.tokens.get(this.tokens.size() - 1) };
		return request(kind, this.prompt.length + this.tokens.size() - 1, last, null, 1, range);
	}

	public StepRequest next(StepRequest previous, StepReply reply, StepKind kind, LayerRange range) {
		return request(kind, previous.position(), null, reply.output(), previous.count(), range);
	}

	/** Runs one step of all stages and keeps the token. */
	public void run(StepKind kind, List<EngineClient> engines, List<LayerRange> ranges) {
		StepRequest request = first(kind, ranges.get(0));
		StepReply reply = step(engines.get(0), request);
		for (int stage = 1; stage < engines.size(); stage++) {
			request = next(request, reply, kind, ranges.get(stage));
			reply = step(engines.get(stage), request);
		}
		this.tokens.add(reply.token().id());
	}

	public StepReply step(EngineClient engine, StepRequest request) {
		return engine.step(request, LIMIT_MILLIS).join();
	}

	private StepRequest request(StepKind kind, int position, int[] tokens, byte[] input, int count, LayerRange range) {
		return new StepRequest(this.stream, this.attempt, "reference", "1", position, count, range.first(), range.end(),
				tokens, input, kind, Priority.NORMAL, LIMIT_MILLIS, this.prompt.length);
	}

}
