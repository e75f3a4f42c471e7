package org.comfreyslip.load.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.clients.engine.TokenizeRequest;
import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.TargetPlan;
import org.comfreyslip.routing.topology.Priority;

/**
 * Runs a completion by steps on the engines, as a baseline without a daemon. It does no
 * checks, retries or load balancing beyond a fixed choice of engines by request number.
 */
final class DirectCaller {

	private static final int LIMIT_MILLIS = 60_000;

	private final HttpTransport http;

	private final TargetPlan target;

	private final List<List<String>> stages;

	private final RunClock clock;

	DirectCaller(HttpTransport http, TargetPlan target, List<List<String>> stages, RunClock clock) {
		this.http = http;
		this.target = target;
		this.stages = stages;
		this.clock = clock;
	}

	Observation call(Arrival arrival) {
		List<Long> times = new ArrayList<>();
		try {
			Answer answer = run(arrival, times);
			return observation(arrival, times, answer);
		}
		catch (CompletionException ex) {
			return observation(arrival, times, Answer.of(AnswerClass.FAILED, ErrorAnswer.CONNECTION));
		}
	}

	private Observation observation(Arrival arrival, List<Long> times, Answer answer) {
		return new Observation(arrival, times.stream().mapToLong(Long::longValue).toArray(), this.clock.nanos(), 1,
				null, answer);
	}

	private Answer run(Arrival arrival, List<Long> times) {
		String stream = "direct-" + arrival.index();
		List<EngineClient> engines = engines(arrival.index());
		int[] tokens = engines.get(0)
			.tokenize(new TokenizeRequest(this.target.model(), arrival.prompt()))
			.join()
			.tokens();
		int prompt = tokens.length;
		List<String> texts = new ArrayList<>();
		int position = 0;
		boolean end = false;
		while (!end) {
			StepReply reply = pass(engines, stream, tokens, position, prompt);
			times.add(this.clock.nanos());
			texts.add(reply.token().text());
			position += tokens.length;
			tokens = new int[] { reply.token().id() };
			end = reply.token().end() || texts.size() >= arrival.maxTokens();
		}
		engines.forEach((engine) -> engine.cancel(stream, 1));
		return new Answer(AnswerClass.DONE, null, texts.size(), violation(arrival, texts));
	}

	private StepReply pass(List<EngineClient> engines, String stream, int[] tokens, int position, int prompt) {
		int layersPerStage = this.target.referenceLayers() / engines.size();
		StepKind kind = (position == 0) ? StepKind.PREFILL : StepKind.DECODE;
		StepReply reply = null;
		for (int stage = 0; stage < engines.size(); stage++) {
			StepRequest step = new StepRequest(stream, 1, this.target.model(), "1", position, tokens.length,
					stage * layersPerStage, (stage + 1) * layersPerStage, (stage == 0) ? tokens : null,
					(stage == 0) ? null : reply.output(), kind, Priority.NORMAL, LIMIT_MILLIS, prompt);
			reply = engines.get(stage).step(step, LIMIT_MILLIS).join();
		}
		return reply;
	}

	private String violation(Arrival arrival, List<String> texts) {
		List<String> reference = ReferenceText.of(this.target.referenceLayers(), arrival.prompt(), arrival.maxTokens());
		return texts.equals(reference) ? null : "the text differs from the reference";
	}

	private List<EngineClient> engines(int index) {
		return this.stages.stream()
			.map((stage) -> new EngineClient(this.http, stage.get(index % stage.size()), LIMIT_MILLIS))
			.toList();
	}

}
