package org.comfreyslip.load.run;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpStream;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.RequestKind;
import org.comfreyslip.load.scenario.TargetPlan;

/**
 * Asks daemons for completions.
 */
final class CompletionCaller {

	private static final int LIMIT_MILLIS = 120_000;

	private static final int OK = 200;

	private final HttpTransport http;

	private final TargetPlan target;

	private final RunClock clock;

	private final Executor readers;

	CompletionCaller(HttpTransport http, TargetPlan target, RunClock clock, Executor readers) {
		this.http = http;
		this.target = target;
		this.clock = clock;
		this.readers = readers;
	}

	CompletableFuture<Observation> call(Arrival arrival) {
		HttpCall call = httpCall(arrival);
		if (arrival.kind() == RequestKind.STREAMED) {
			return this.http.stream(call)
				.handleAsync((stream, ex) -> (ex != null) ? failed(arrival, ex) : read(arrival, stream), this.readers);
		}
		return this.http.send(call).handle((reply, ex) -> (ex != null) ? failed(arrival, ex) : judge(arrival, reply));
	}

	private HttpCall httpCall(Arrival arrival) {
		byte[] body = JsonCodec.write(Map.of("model", this.target.model(), "prompt", arrival.prompt(), "max_tokens",
				arrival.maxTokens(), "stream", arrival.kind() == RequestKind.STREAMED));
		List<HttpHeader> headers = List.of(new HttpHeader("Content-Type", "application/json"),
				new HttpHeader("Authorization", "Bearer " + this.target.keys().get(arrival.account())));
		return new HttpCall(this.target.daemons().get(arrival.daemon()), "POST", "/v1/completions", headers, body,
				LIMIT_MILLIS, LIMIT_MILLIS, () -> true);
	}

	private Observation failed(Arrival arrival, Throwable ex) {
		return new Observation(arrival, new long[0], this.clock.nanos(), 1, null, ErrorAnswer.of(ex));
	}

	private Observation judge(Arrival arrival, HttpReply reply) {
		long end = this.clock.nanos();
		Answer answer = (reply.status() == OK) ? UnaryCheck.judge(reply.body(), reference(arrival))
				: ErrorAnswer.of(reply.status(), reply.body());
		return new Observation(arrival, new long[0], end, 1, null, answer);
	}

	private Observation read(Arrival arrival, HttpStream stream) {
		try (stream) {
			if (stream.status() != OK) {
				Answer answer = ErrorAnswer.of(stream.status(), stream.body().readAllBytes());
				return new Observation(arrival, new long[0], this.clock.nanos(), 1, null, answer);
			}
			StreamCheck check = new StreamCheck(reference(arrival));
			readLines(stream, check);
			return new Observation(arrival, check.times(), this.clock.nanos(), 1, null, check.judge());
		}
		catch (IOException ex) {
			return failed(arrival, ex);
		}
	}

	private void readLines(HttpStream stream, StreamCheck check) {
		BufferedReader reader = new BufferedReader(new InputStreamReader(stream.body(), StandardCharsets.UTF_8));
		try {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				check.line(line, this.clock.nanos());
			}
		}
		catch (IOException ex) {
			// A connection that breaks off is judged by what had arrived.
		}
	}

	private List<String> reference(Arrival arrival) {
		int layers = this.target.referenceLayers();
		return (layers > 0) ? ReferenceText.of(layers, arrival.prompt(), arrival.maxTokens()) : List.of();
	}

}
