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
 * Idempotent calls of plain services. A failed call is sent to another endpoint within
 * the retry budget, as long as no byte of a response was passed on to the caller.
 */
final class IdempotentCalls {

	/** Endpoints that a call is sent to at most. */
	private static final int MAX_ATTEMPTS = 3;

	/** Size of the buffer for forwarding a response body. */
	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	/** Headers that hold for the connection to the endpoint only. */
	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "upgrade", "trailer");

	private final RoutingTables tables;

	private final HttpTransport http;

	private final Admission admission;

	private final Executor workers;

	private final LongSupplier clock;

	IdempotentCalls(RoutingTables tables, HttpTransport http, Admission admission, Executor workers,
			LongSupplier clock) {
		this.tables = tables;
		this.http = http;
		this.admission = admission;
		this.workers = workers;
		this.clock = clock;
	}

	void start(Context context, OpenRequest request, ServiceSpec service, ServiceCall call) {
		sendToNextEndpoint(new PendingCall(context, request, service, call, new HashSet<>()));
	}

	private void sendToNextEndpoint(PendingCall pending) {
		OpenRequest request = pending.request();
		long nowNanos = this.clock.getAsLong();
		if (nowNanos >= request.deadlineNanos()) {
			sendFailure(pending, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before an endpoint responded");
			return;
		}
		Optional<SelectedEndpoint> selected = this.tables.select(pending.service().name(), pending.failedEndpoints(),
				true, nowNanos);
		if (selected.isEmpty()) {
			sendFailure(pending, ErrorCode.NO_ENDPOINT,
					"no endpoint of service " + pending.service().name() + " accepts requests");
			return;
		}
		SelectedEndpoint endpoint = selected.get();
		request.entry().addNote("sent to " + endpoint.endpoint().name());
		new ServiceClient(this.http, endpoint.endpoint().address()).send(pending.call(), request.boundary())
			.whenComplete((response, ex) -> onSendCompleted(pending, endpoint, nowNanos, response, ex));
	}

	private void onSendCompleted(PendingCall pending, SelectedEndpoint endpoint, long sentAtNanos, HttpStream response,
			Throwable ex) {
		long nowNanos = this.clock.getAsLong();
		if (ex == null && response.status() != STATUS_UNAVAILABLE) {
			this.tables.recordSuccess(endpoint.call(), nowNanos, nowNanos - sentAtNanos);
			this.admission.recordLatency(nowNanos - sentAtNanos);
			this.workers.execute(() -> forwardResponse(pending, response));
			return;
		}
		Throwable cause = (ex != null) ? Failures.unwrap(ex) : null;
		this.tables.recordFailure(endpoint.call(), classifyFailure(cause), nowNanos);
		pending.failedEndpoints().add(endpoint.endpoint().name());
		boolean retry = pending.failedEndpoints().size() < MAX_ATTEMPTS && this.admission.tryRetry();
		if (retry) {
			if (response != null) {
				response.close();
			}
			sendToNextEndpoint(pending);
		}
		else if (response != null) {
			this.workers.execute(() -> forwardResponse(pending, response));
		}
		else {
			sendFailure(pending, ErrorCode.ENDPOINT_FAILED, String.valueOf(cause.getMessage()));
		}
	}

	private void forwardResponse(PendingCall pending, HttpStream response) {
		Context context = pending.context();
		OpenRequest request = pending.request();
		try (response) {
			context.setResponseCode(response.status());
			for (HttpHeader header : response.headers()) {
				if (!CONNECTION_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
					context.setResponseHeader(header.name(), header.value());
				}
			}
			forwardBody(response, context.responseSender());
			request.close(OutcomeClass.ANSWERED, "answered with status " + response.status());
		}
		catch (IOException | ExecutionException ex) {
			// The response has started, so its status cannot change. The connection is
			// closed to show the caller that the response is incomplete.
			request.close(OutcomeClass.FAILED, "response interrupted: " + ex.getMessage());
			CallerConnection.close(context);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			request.close(OutcomeClass.FAILED, "response interrupted by the shutdown");
		}
	}

	private static void forwardBody(HttpStream response, Sender sender)
			throws IOException, ExecutionException, InterruptedException {
		byte[] buffer = new byte[BUFFER_BYTES];
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

	private static void sendFailure(PendingCall pending, ErrorCode code, String message) {
		CodedException error = pending.request().boundary().failCall(code, message, RETRY_AFTER_MILLIS);
		pending.request().close(OutcomeClass.ofError(error), "failed: " + code);
		Responses.sendError(pending.context(), error, pending.request().id());
	}

	private static EndpointFailure classifyFailure(Throwable cause) {
		if (cause instanceof CallFailedException failed) {
			return failed.mayHaveBeenSent() ? EndpointFailure.TIMEOUT : EndpointFailure.REFUSED;
		}
		return EndpointFailure.ERROR;
	}

	/**
	 * A call that has no response yet.
	 *
	 * @param context the caller's HTTP request
	 * @param request the admitted request
	 * @param service the service that is called
	 * @param call the call as it is sent to an endpoint
	 * @param failedEndpoints the names of the endpoints that this call failed at; grows
	 * with each attempt
	 */
	private record PendingCall(Context context, OpenRequest request, ServiceSpec service, ServiceCall call,
			Set<String> failedEndpoints) {
	}

}
