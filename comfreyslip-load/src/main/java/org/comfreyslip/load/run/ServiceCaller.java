package org.comfreyslip.load.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.Scenario;
import org.comfreyslip.load.scenario.TargetPlan;

/**
 * Records stamps and looks their outcomes up. A stamp that was not run, failed or has an
 * unknown outcome is tried again with the same key at the next daemon.
 */
final class ServiceCaller {

	private static final int LIMIT_MILLIS = 30_000;

	private final HttpTransport http;

	private final TargetPlan target;

	private final Scenario scenario;

	private final RunClock clock;

	private final ConcurrentLinkedDeque<DoneStamp> done = new ConcurrentLinkedDeque<>();

	ServiceCaller(HttpTransport http, TargetPlan target, Scenario scenario, RunClock clock) {
		this.http = http;
		this.target = target;
		this.scenario = scenario;
		this.clock = clock;
	}

	CompletableFuture<Observation> stamp(Arrival arrival) {
		long seed = this.scenario.seed() * 1_000_003 + arrival.index();
		return attempt(arrival, IdempotencyKeyPolicy.newKey(System.currentTimeMillis(), new SplittableRandom(seed)), 1);
	}

	CompletableFuture<Observation> lookUp(Arrival arrival) {
		DoneStamp known = this.done.peekLast();
		String key = (known != null) ? known.key()
				: IdempotencyKeyPolicy.newKey(System.currentTimeMillis(), new SplittableRandom(arrival.index()));
		int account = (known != null) ? known.account() : arrival.account();
		HttpCall call = call(arrival.daemon(), account, "GET", "/v1/outcomes/" + this.target.service() + "/" + key,
				List.of(), null);
		return this.http.send(call)
			.handle((reply, ex) -> new Observation(arrival, new long[0], this.clock.nanos(), 1, null,
					(ex != null) ? ErrorAnswer.of(ex) : judgeLookUp(reply, known != null)));
	}

	static Answer judgeLookUp(HttpReply reply, boolean known) {
		if (!reply.isSuccess()) {
			return ErrorAnswer.of(reply.status(), reply.body());
		}
		String state = JsonCodec.read(reply.body(), JsonNode.class).path("state").asText("");
		boolean lost = known && state.equalsIgnoreCase("NOT_CLAIMED");
		return new Answer(AnswerClass.DONE, null, 0, lost ? "a recorded stamp is reported as not claimed" : null);
	}

	private CompletableFuture<Observation> attempt(Arrival arrival, String key, int attempt) {
		int daemon = (arrival.daemon() + attempt - 1) % this.target.daemons().size();
		byte[] body = JsonCodec.write(Map.of("certificate", arrival.prompt(), "inspector", "load"));
		HttpCall call = call(daemon, arrival.account(), "POST", "/services/" + this.target.service() + "/stamps",
				List.of(new HttpHeader("Idempotency-Key", key)), body);
		return this.http.send(call).handle((reply, ex) -> {
			Answer answer = (ex != null) ? withoutAnswer(ex) : judgeStamp(reply);
			return new Observation(arrival, new long[0], this.clock.nanos(), attempt, key, answer);
		}).thenCompose((seen) -> next(seen, key));
	}

	private CompletableFuture<Observation> next(Observation seen, String key) {
		if (seen.answer().isDone()) {
			this.done.add(new DoneStamp(seen.arrival().account(), key));
		}
		if (seen.answer().isDone() || seen.attempts() >= this.scenario.attempts()) {
			return CompletableFuture.completedFuture(seen);
		}
		Executor later = CompletableFuture.delayedExecutor(this.scenario.retryPauseMillis(), TimeUnit.MILLISECONDS);
		return CompletableFuture.runAsync(() -> {
			// Only the delay matters.
		}, later).thenCompose((ignored) -> attempt(seen.arrival(), key, seen.attempts() + 1));
	}

	private static Answer judgeStamp(HttpReply reply) {
		return reply.isSuccess() ? Answer.of(AnswerClass.DONE, null) : ErrorAnswer.of(reply.status(), reply.body());
	}

	// Without an answer the caller cannot know whether the stamp was recorded.
	private static Answer withoutAnswer(Throwable ex) {
		Answer answer = ErrorAnswer.of(ex);
		return (answer.answerClass() != AnswerClass.FAILED) ? answer : Answer.of(AnswerClass.UNKNOWN, answer.code());
	}

	private HttpCall call(int daemon, int account, String method, String path, List<HttpHeader> extra, byte[] body) {
		List<HttpHeader> headers = new ArrayList<>(extra);
		headers.add(new HttpHeader("Content-Type", "application/json"));
		headers.add(new HttpHeader("Authorization", "Bearer " + this.target.keys().get(account)));
		return new HttpCall(this.target.daemons().get(daemon), method, path, headers, body, LIMIT_MILLIS, LIMIT_MILLIS,
				() -> true);
	}

	private record DoneStamp(int account, String key) {
	}

}
