package org.comfreyslip.daemon.http;

import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import io.jooby.Context;
import io.jooby.Sender;
import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpStream;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.service.ServiceCall;
import org.comfreyslip.clients.service.ServiceClient;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.Failures;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.daemon.route.SelectedEndpoint;
import org.comfreyslip.routing.endpoint.EndpointFailure;
import org.comfreyslip.routing.topology.ServiceSpec;

/**
 * Calls of plain services that may be repeated. A failed call is sent to another endpoint
 * within the retry budget, as long as no byte of a response was passed on.
 */
final class RepeatableCalls {

	private static final int MAX_ATTEMPTS = 3;

	private static final int CHUNK_BYTES = 16 * 1024;

	private static final int UNAVAILABLE = 503;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final Set<String> NOT_RETURNED = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "upgrade", "trailer");

	private final RoutingTables tables;

	private final HttpTransport http;

	private final Admission admission;

	private final Executor workers;

	private final LongSupplier clock;

	RepeatableCalls(RoutingTables tables, HttpTransport http, Admission admission, Executor workers,
			LongSupplier clock) {
		this.tables = tables;
		this.http = http;
		this.admission = admission;
		this.workers = workers;
		this.clock = clock;
	}

	void start(Context context, OpenRequest request, ServiceSpec service, ServiceCall call) {
		attempt(new Attempt(context, request, service, call, new HashSet<>()));
	}

	private void attempt(Attempt attempt) {
		OpenRequest request = attempt.request();
		long now = this.clock.getAsLong();
		if (now >= request.deadline()) {
			fail(attempt, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before an endpoint answered");
			return;
		}
		Optional<SelectedEndpoint> selected = this.tables.select(attempt.service().name(), attempt.tried(), true, now);
		if (selected.isEmpty()) {
			fail(attempt, ErrorCode.NO_ENDPOINT, "no endpoint of service " + attempt.service().name() + " takes work");
			return;
		}
		SelectedEndpoint endpoint = selected.get();
		request.entry().note("sent to " + endpoint.endpoint().name());
		new ServiceClient(this.http, endpoint.endpoint().address()).send(attempt.call(), request.boundary())
			.whenComplete((response, ex) -> onEnd(attempt, endpoint, now, response, ex));
	}

	private void onEnd(Attempt attempt, SelectedEndpoint endpoint, long sentAt, HttpStream response, Throwable ex) {
		long now = this.clock.getAsLong();
		if (ex == null && response.status() != UNAVAILABLE) {
			this.tables.succeed(endpoint.call(), now, now - sentAt);
			this.admission.onLatency(now - sentAt);
			this.workers.execute(() -> pass(attempt, response));
			return;
		}
		Throwable cause = (ex != null) ? Failures.unwrap(ex) : null;
		this.tables.fail(endpoint.call(), failure(cause), now);
		attempt.tried().add(endpoint.endpoint().name());
		boolean retry = attempt.tried().size() < MAX_ATTEMPTS && this.admission.tryRetry();
		if (retry) {
			if (response != null) {
				response.close();
			}
			attempt(attempt);
		}
		else if (response != null) {
			this.workers.execute(() -> pass(attempt, response));
		}
		else {
			fail(attempt, ErrorCode.ENDPOINT_FAILED, String.valueOf(cause.getMessage()));
		}
	}

	private void pass(Attempt attempt, HttpStream response) {
		Context context = attempt.context();
		OpenRequest request = attempt.request();
		try (response) {
			context.setResponseCode(response.status());
			for (HttpHeader header : response.headers()) {
				if (!NOT_RETURNED.contains(header.name().toLowerCase(Locale.ROOT))) {
					context.setResponseHeader(header.name(), header.value());
				}
			}
			copy(response, context.responseSender());
			request.close(OutcomeClass.ANSWERED, "answered with status " + response.status());
		}
		catch (IOException | ExecutionException ex) {
			// The response has started, so the only honest end is to break it off.
			request.close(OutcomeClass.FAILED, "broken off: " + ex.getMessage());
			CallerConnection.close(context);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			request.close(OutcomeClass.FAILED, "broken off by the shutdown");
		}
	}

	private static void copy(HttpStream response, Sender sender)
			throws IOException, ExecutionException, InterruptedException {
		byte[] buffer = new byte[CHUNK_BYTES];
		for (int read = response.body().read(buffer); read >= 0; read = response.body().read(buffer)) {
			CompletableFuture<Void> written = new CompletableFuture<>();
			sender.write(java.util.Arrays.copyOf(buffer, read), (ctx, ex) -> {
				if (ex != null) {
					written.completeExceptionally(ex);
				}
				else {
					written.complete(null);
				}
			});
			written.get();
		}
		sender.close();
	}

	private static void fail(Attempt attempt, ErrorCode code, String message) {
		CodedException error = attempt.request().boundary().failCall(code, message, RETRY_AFTER_MILLIS);
		attempt.request().close(OutcomeClass.of(error), "failed: " + code);
		Replies.error(attempt.context(), error, attempt.request().id());
	}

	private static EndpointFailure failure(Throwable cause) {
		if (cause instanceof CallFailedException failed) {
			return failed.mayHaveBeenSent() ? EndpointFailure.TIMEOUT : EndpointFailure.REFUSED;
		}
		return EndpointFailure.ERROR;
	}

	/**
	 * A call and the endpoints that were tried.
	 *
	 * @param context the HTTP request
	 * @param request the admitted request
	 * @param service the service
	 * @param call the call
	 * @param tried the endpoints that failed
	 */
	private record Attempt(Context context, OpenRequest request, ServiceSpec service, ServiceCall call,
			Set<String> tried) {
	}

}
