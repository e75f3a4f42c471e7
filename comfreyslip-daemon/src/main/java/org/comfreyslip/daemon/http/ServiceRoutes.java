package org.comfreyslip.daemon.http;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.jooby.Context;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.service.ServiceCall;
import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.ClaimResult;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.daemon.claim.OutcomeView;
import org.comfreyslip.daemon.claim.ProtectedCallService;
import org.comfreyslip.routing.topology.ServiceSpec;
import org.comfreyslip.settings.DependencyNode;

/**
 * The routes for calls of plain services, for new idempotency keys and for the look-up of
 * outcomes.
 */
final class ServiceRoutes {

	private static final String KEY_HEADER = "Idempotency-Key";

	/**
	 * Headers that hold for one connection only, and those that the daemon sets itself.
	 */
	private static final Set<String> NOT_FORWARDED = Set.of("host", "connection", "keep-alive", "transfer-encoding",
			"content-length", "upgrade", "te", "trailer", "proxy-authorization", "proxy-connection", "authorization",
			"expect", "accept-encoding", "idempotency-key", "request-timeout-ms", "send-by-epoch-millis");

	private static final int STATUS_OK = 200;

	private final RequestGate gate;

	private final ProtectedCallService protectedCalls;

	private final IdempotentCalls idempotentCalls;

	private final RandomGenerator random;

	ServiceRoutes(RequestGate gate, ProtectedCallService protectedCalls, IdempotentCalls idempotentCalls,
			RandomGenerator random) {
		this.gate = gate;
		this.protectedCalls = protectedCalls;
		this.idempotentCalls = idempotentCalls;
		this.random = random;
	}

	Context call(Context context) {
		CallBoundary boundary = new CallBoundary();
		try {
			RequestGate.Caller caller = this.gate.authenticate(context, boundary);
			ServiceSpec service = requireService(context, caller, boundary);
			ServiceCall call = toServiceCall(context, service, boundary);
			boolean protectedCall = service.isProtected(call.method(), withoutQuery(call.path()));
			ClaimKey key = protectedCall ? requireKey(context, caller, service, boundary) : null;
			OpenRequest request = this.gate.admit(context, caller, DependencyNode.service(service.name()),
					call.method() + " " + service.name() + withoutQuery(call.path()), boundary);
			if (protectedCall) {
				startProtected(context, request, key, service, call);
			}
			else {
				this.idempotentCalls.start(context, request, service, call);
			}
		}
		catch (CodedException ex) {
			this.gate.refuse(context, ex);
		}
		return context;
	}

	Context createKey(Context context) {
		try {
			this.gate.authenticate(context, new CallBoundary());
			String key = IdempotencyKeyPolicy.newKey(System.currentTimeMillis(), this.random);
			Responses.sendJson(context, STATUS_OK, Map.of("idempotency_key", key));
		}
		catch (CodedException ex) {
			this.gate.refuse(context, ex);
		}
		return context;
	}

	Context lookUpOutcome(Context context) {
		CallBoundary boundary = new CallBoundary();
		try {
			RequestGate.Caller caller = this.gate.authenticate(context, boundary);
			ServiceSpec service = requireService(context, caller, boundary);
			ClaimKey key = new ClaimKey(caller.account().name(), service.name(), context.path("key").value());
			this.protectedCalls.findOutcome(key, service).whenComplete((view, ex) -> {
				if (ex != null) {
					Responses.sendError(context, ex, null);
				}
				else {
					Responses.sendJson(context, STATUS_OK, OutcomeReply.of(key, view));
				}
			});
		}
		catch (CodedException ex) {
			this.gate.refuse(context, ex);
		}
		return context;
	}

	private void startProtected(Context context, OpenRequest request, ClaimKey key, ServiceSpec service,
			ServiceCall call) {
		this.protectedCalls.start(key, service, call, request.deadlineNanos(), request.entry())
			.whenComplete((result, ex) -> {
				if (ex != null) {
					request.close(OutcomeClass.FAILED, "failed: " + ex.getMessage());
					Responses.sendError(context, ex, request.id());
				}
				else {
					sendResult(context, request, result);
				}
			});
	}

	private static void sendResult(Context context, OpenRequest request, ClaimResult result) {
		if (result instanceof ClaimResult.Done done) {
			request.close(OutcomeClass.ANSWERED, "done with status " + done.response().status());
			sendRecorded(context, done.response(), done.replayed());
		}
		else if (result instanceof ClaimResult.NotRun notRun) {
			request.close(OutcomeClass.NOT_RUN, "not run: " + notRun.error().code());
			Responses.sendError(context, notRun.error(), request.id());
		}
		else if (result instanceof ClaimResult.Refused refused) {
			request.close(OutcomeClass.FAILED, "refused by the service: " + refused.error().getMessage());
			Responses.sendError(context, refused.error(), request.id());
		}
		else if (result instanceof ClaimResult.Unknown unknown) {
			request.close(OutcomeClass.UNKNOWN, "outcome unknown");
			context.setResponseHeader("Location", unknown.lookupPath());
			Responses.sendError(context, unknown.error(), request.id());
		}
	}

	private static void sendRecorded(Context context, RecordedResponse response, boolean replayed) {
		if (replayed) {
			context.setResponseHeader("Idempotency-Replayed", "true");
		}
		context.setResponseCode(response.status());
		if (!response.contentType().isEmpty()) {
			context.setResponseHeader("Content-Type", response.contentType());
		}
		if (!response.bodyRecorded()) {
			context.setResponseHeader("Body-Digest-Sha-256", response.digest());
		}
		context.send(Base64.getDecoder().decode(response.bodyBase64()));
	}

	private static ServiceSpec requireService(Context context, RequestGate.Caller caller, CallBoundary boundary) {
		String name = context.path("service").value();
		return caller.config()
			.topology()
			.findService(name)
			.orElseThrow(() -> boundary.closeAsNotRun(ErrorCode.UNKNOWN_SERVICE,
					"service '" + name + "' is not configured", -1));
	}

	private static ClaimKey requireKey(Context context, RequestGate.Caller caller, ServiceSpec service,
			CallBoundary boundary) {
		String text = context.header(KEY_HEADER).valueOrNull();
		if (text == null) {
			throw boundary.closeAsNotRun(ErrorCode.KEY_REQUIRED,
					"the call is not idempotent and carries no " + KEY_HEADER, -1);
		}
		try {
			return new ClaimKey(caller.account().name(), service.name(), text);
		}
		catch (CodedException ex) {
			throw boundary.closeAsNotRun(ex.code(), ex.getMessage(), -1);
		}
	}

	private static ServiceCall toServiceCall(Context context, ServiceSpec service, CallBoundary boundary) {
		String prefix = "/services/" + service.name();
		String path = context.getRequestPath().substring(prefix.length());
		String query = context.queryString();
		List<HttpHeader> headers = new ArrayList<>();
		context.headerMap().forEach((name, value) -> {
			if (!NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
				headers.add(new HttpHeader(name, value));
			}
		});
		byte[] body = RequestBody.bytes(context, boundary);
		return new ServiceCall(context.getMethod().toUpperCase(Locale.ROOT),
				(path.isEmpty() ? "/" : path) + ((query != null) ? query : ""), headers,
				(body.length == 0) ? null : body, (int) service.timeoutMillis());
	}

	private static String withoutQuery(String path) {
		int query = path.indexOf('?');
		return (query < 0) ? path : path.substring(0, query);
	}

	/**
	 * The known outcome of the protected call with a key.
	 *
	 * @param key the idempotency key
	 * @param state the name of the {@link OutcomeView.State} in lower case
	 * @param status the status of the recorded response, or {@code null}
	 * @param body the recorded body in base64, or {@code null} if there is no response
	 */
	private record OutcomeReply(String key, String state, Integer status, String body) {

		static OutcomeReply of(ClaimKey key, OutcomeView view) {
			return new OutcomeReply(key.key(), view.state().name().toLowerCase(Locale.ROOT),
					view.response().map(RecordedResponse::status).orElse(null),
					view.response().map(RecordedResponse::bodyBase64).orElse(null));
		}

	}

}
