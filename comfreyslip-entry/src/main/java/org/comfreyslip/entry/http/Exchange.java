package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.blame.RequestTraits;
import org.comfreyslip.entry.blame.SuspectRequest;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.ClientAccount;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.Route;
import org.comfreyslip.entry.model.RouteKind;
import org.comfreyslip.entry.model.SocketAddresses;
import org.comfreyslip.entry.reach.RelayPeer;
import org.comfreyslip.entry.stream.EventFramer;

/**
 * One request of a caller from its arrival to its final response: admission, the sends to
 * endpoints, and the handling of their results. At most one send is open at a time.
 */
final class Exchange implements ResponseListener {

	/** Largest number of sends of one request, including those that endpoints refuse. */
	private static final int MAX_SENDS = 5;

	/**
	 * Largest number of sends of a stream that has started; more than {@link #MAX_SENDS}
	 * because its caller has part of the response.
	 */
	private static final int MAX_STREAM_SENDS = 12;

	/**
	 * Time between two attempts to find a path for a suspended stream, in ms: a few steps
	 * of a placement.
	 */
	private static final long RESUME_INTERVAL_MS = 100;

	/**
	 * Least time until the deadline with which a send is started, in ms: one round trip
	 * and a short wait.
	 */
	private static final long MIN_REMAINING_MS = 20;

	/**
	 * Time without progress after which a request is taken back from another daemon, in
	 * ms: longer than the silence after which that daemon turns to another endpoint.
	 */
	private static final long DAEMON_SILENCE_MS = 1_200;

	private final Router router;

	private final CallerConnection caller;

	private final CallerConnection.IncomingRequest callerRequest;

	private final HeaderTranslator.RequestFields requestFields;

	/** Endpoints to which the request is not sent again, until it is suspended. */
	private final Set<String> excludedEndpoints = new HashSet<>();

	/** Endpoints of all sends so far, in their order, for the log. */
	private final List<String> sentTo = new ArrayList<>();

	/** The admitted request, or null before admission. */
	private RequestAdmission.AdmittedRequest admitted;

	/** Digest that only this request has when it is sent again. */
	private String digest = "";

	/** What other requests that crash endpoints may have in common with this one. */
	private Set<String> traits = Set.of();

	/** Whether an endpoint has answered for some time, so that this one crashes none. */
	private boolean proven;

	/** Steady time in ns at which the request times out. */
	private long deadlineNanos;

	/** The endpoint of the current send, or null if it is to no endpoint. */
	private Endpoint endpoint;

	/** The daemon that the current send passes the request on to, or null. */
	private RelayPeer peer;

	/** Names of the daemons that the request was passed on to. */
	private final Set<String> triedPeers = new HashSet<>();

	/** Whether the request, of another daemon, counts against their number here. */
	private boolean countedAsTaken;

	/** The connection of the current send, or null if no send is open. */
	private EndpointConnection connection;

	/**
	 * The path of the current or last send; null for plain services and without a path.
	 */
	private LayerPath path;

	/** Number of tokens that are reserved on the path during a send. */
	private int reservedTokens;

	/** Number of sends so far, including those that endpoints refused. */
	private int sendCount;

	/** Endpoints that may have run the request; counted against the route's limit. */
	private final Set<String> endpointsThatMayHaveRun = new HashSet<>();

	/** Whether the write of the current send to an open connection has started. */
	private boolean writeStarted;

	/** Whether an endpoint may have run the request, so that its outcome is unknown. */
	private boolean mayHaveRun;

	/** Progress of the current or last send, or null before the first one. */
	private SendProgress progress;

	/** Steady time in ns at which the current send began. */
	private long sentAtNanos;

	private final StreamActivity activity = new StreamActivity();

	/** Response head of the current send, or null before it arrives. */
	private HttpResponse responseHead;

	private HeaderTranslator.ResponseFields responseFields;

	private final ResponseBuffer responseBuffer;

	/** Whether the response of the current send is relayed to the caller as a stream. */
	private boolean relayingStream;

	/** Whether the response head of a stream has been sent to the caller. */
	private boolean streamStarted;

	private final EventFramer framer = new EventFramer();

	/** Whether the final response, or the end of the stream, has been decided. */
	private boolean finished;

	/** Whether a stream that has started waits for a path. */
	private boolean suspended;

	/** Steady time in ns of the suspension or of the last attempt to resume. */
	private long lastResumeAttemptNanos;

	Exchange(Router router, CallerConnection caller, CallerConnection.IncomingRequest callerRequest) {
		this.router = router;
		this.caller = caller;
		this.callerRequest = callerRequest;
		this.requestFields = router.headers().readRequest(callerRequest.head());
		this.responseBuffer = new ResponseBuffer(router.buffers());
		callerRequest.envelope().ifPresent((envelope) -> {
			this.mayHaveRun = envelope.mayHaveRun();
			this.endpointsThatMayHaveRun.addAll(envelope.triedEndpoints());
		});
	}

	// Tells whether another daemon passed the request on.
	boolean isOfOtherDaemon() {
		return this.callerRequest.envelope().isPresent();
	}

	String id() {
		return this.requestFields.attemptId();
	}

	Optional<LayerPath> path() {
		return Optional.ofNullable(this.path);
	}

	/** Admits the request and sends it to an endpoint, or responds with the refusal. */
	void admitAndDispatch() {
		Optional<String> declined = this.callerRequest.envelope().flatMap(this.router::declineReason);
		if (declined.isPresent()) {
			decline(declined.get());
			return;
		}
		if (isOfOtherDaemon()) {
			this.countedAsTaken = true;
			this.router.log().count(EntryMetrics.Count.RELAYS_TAKEN);
		}
		RequestAdmission.Admission admission = this.router.admit(this.callerRequest, this.requestFields);
		if (admission.refusal() != null) {
			respond(admission.refusal(), Outcome.REFUSED, admission.reason());
			return;
		}
		this.admitted = admission.admitted();
		this.digest = RequestDigest.of(this.callerRequest, this.admitted.account().map(ClientAccount::name).orElse(""));
		this.traits = RequestTraits.of(this.admitted.service(), this.requestFields.sharedPromptParts(), this.digest);
		long waitMs = this.admitted.route().timeoutMs();
		if (this.requestFields.deadlineMs() >= 0) {
			waitMs = Math.min(waitMs, this.requestFields.deadlineMs());
		}
		this.deadlineNanos = this.callerRequest.arrivalNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs);
		this.router.onRequestOpened(this, this.admitted);
		dispatch();
	}

	private long remainingMs(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - nowNanos);
	}

	private void dispatch() {
		long now = System.nanoTime();
		this.suspended = false;
		if (remainingMs(now) < MIN_REMAINING_MS) {
			timeOut("no time left");
			return;
		}
		if (!this.router.mayStillSend(this.admitted)) {
			refuseOrSuspend("the key's validity cannot be confirmed now", "stale configuration", Router.STALE_RETRY_MS);
			return;
		}
		OptionalLong crashRefusalMs = this.router.crashRefusalMs(this.traits, now);
		if (crashRefusalMs.isPresent()) {
			refuseAsCrashing(crashRefusalMs.getAsLong());
			return;
		}
		if (this.router.isLost(this.admitted.service()) && dispatchElsewhere(now)) {
			return;
		}
		List<Endpoint> heldBack = this.router.heldBackEndpoints(this.admitted, this::mayTake, now);
		Optional<Endpoint> target = chooseTarget(now);
		if (target.isEmpty()) {
			if (this.admitted.engine().isPresent()) {
				this.router.recordMissingPath(id(), this.admitted, heldBack.size(), now);
			}
			refuseOrSuspend("no endpoint can take the request now",
					(heldBack.isEmpty()) ? "no endpoint" : "no endpoint within its limit",
					this.router.retryAfterMs(this.admitted, heldBack, this::mayTake, now));
			return;
		}
		sendTo(target.get(), now);
	}

	// No endpoint of the service can be reached from here; trials show when that ends.
	// Returns false if one that has started since may be tried instead.
	private boolean dispatchElsewhere(long now) {
		Optional<RelayPeer> chosen = choosePeer(now);
		if (chosen.isPresent()) {
			passOn(chosen.get(), now);
			return true;
		}
		if (this.router.maySendDirectly(this.admitted.service())) {
			return false;
		}
		if (isOfOtherDaemon() && !this.streamStarted && !hasRunHere()) {
			decline("endpoints out of reach");
		}
		else {
			refuseOrSuspend("no endpoint can be reached now", "endpoints out of reach", this.router.capacityRetryMs());
		}
		return true;
	}

	private boolean hasRunHere() {
		int before = this.callerRequest.envelope().map((envelope) -> envelope.triedEndpoints().size()).orElse(0);
		return this.endpointsThatMayHaveRun.size() > before;
	}

	// A request under which an endpoint has ended is not passed on, since it may be the
	// cause.
	private Optional<RelayPeer> choosePeer(long now) {
		boolean endedEndpoint = this.endpointsThatMayHaveRun.stream().anyMatch(this.router::hasEndpointFailed);
		return (isOfOtherDaemon() || endedEndpoint) ? Optional.empty()
				: this.router.relays().choose(this.admitted.service(), this.triedPeers, now);
	}

	// Tells the daemon that passed the request on that it has not run here.
	private void decline(String reason) {
		this.router.log().count(EntryMetrics.Count.RELAYS_DECLINED);
		DefaultFullHttpResponse response = OwnResponses.create(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, -1);
		new RelayReply(RelayReply.Kind.DECLINED, id()).writeTo(response.headers());
		finish(Outcome.REFUSED, "declined: " + reason);
		this.caller.sendResponse(response);
	}

	private Optional<Endpoint> chooseTarget(long now) {
		this.path = null;
		if (this.admitted.engine().isEmpty()) {
			return this.router.choosePlainEndpoint(this.admitted.service(), this.excludedEndpoints, now);
		}
		int tokens = estimateTokens();
		Optional<LayerPath> found = this.router.findPath(this.admitted, tokens, this::mayBeFirstStage, now);
		if (found.isEmpty()) {
			return Optional.empty();
		}
		this.path = found.get();
		this.reservedTokens = tokens;
		return Optional.of(this.path.firstEndpoint());
	}

	private boolean mayTake(Endpoint candidate) {
		return (this.admitted.engine().isPresent()) ? mayBeFirstStage(candidate)
				: !this.excludedEndpoints.contains(candidate.id());
	}

	// Once the route's limit of attempts is reached, only endpoints that may have run the
	// request before may run it again.
	private boolean mayBeFirstStage(Endpoint first) {
		return !this.excludedEndpoints.contains(first.id())
				&& (hasAttemptsLeft() || this.endpointsThatMayHaveRun.contains(first.id()));
	}

	// Endpoints whose process has ended unexpectedly since do not count against the
	// route's limit.
	private boolean hasAttemptsLeft() {
		long counted = this.endpointsThatMayHaveRun.stream().filter((id) -> !this.router.hasEndpointFailed(id)).count();
		return counted < this.admitted.route().maxAttempts();
	}

	// Estimates the number of tokens that the stream will hold at its end.
	private int estimateTokens() {
		int responseTokens = (this.requestFields.estimatedResponseTokens() > 0)
				? this.requestFields.estimatedResponseTokens() : this.admitted.engine().get().meanResponseTokens();
		if (this.requestFields.maxResponseTokens() > 0) {
			responseTokens = Math.min(responseTokens, this.requestFields.maxResponseTokens());
		}
		int promptTokens = (this.requestFields.promptTokens() > 0) ? this.requestFields.promptTokens()
				: this.admitted.engine().get().meanPromptTokens();
		return promptTokens + responseTokens;
	}

	private void sendTo(Endpoint target, long now) {
		this.endpoint = target;
		beginSend(now);
		HttpHeaders headers = copyRequestHeaders();
		this.router.headers()
			.rewriteForEndpoint(headers,
					new HeaderTranslator.ForwardedRequest(target,
							this.admitted.account().map((account) -> account.name()), Math.max(1, remainingMs(now)),
							Optional.ofNullable(this.path), resumeAfter(), this.admitted.priority()));
		DefaultFullHttpRequest request = createRequest(headers);
		if (this.path != null) {
			this.router.log().recordPath(id(), this.path, now);
			this.router.loads().reserve(this.path, this.reservedTokens);
			this.router.monitorPath(this.path, now);
		}
		else {
			this.router.plainSelector().recordDispatch(target.id(), now);
		}
		this.sentTo.add(target.id());
		this.router.onSend(target);
		this.connection = this.router.pool()
			.send(ConnectionTarget.of(target), request, id(), !this.admitted.route().mayRunAgain(), this);
	}

	// Passes the request on to another daemon, which decides about it as about one of its
	// own callers.
	private void passOn(RelayPeer target, long now) {
		this.peer = target;
		this.path = null;
		this.triedPeers.add(target.name());
		beginSend(now);
		HttpHeaders headers = copyRequestHeaders();
		this.router.headers().rewriteForDaemon(headers, Math.max(1, remainingMs(now)), resumeAfter());
		headers.set(RelayEnvelope.FIELD,
				RelayEnvelope.of(this.admitted.version(), this.mayHaveRun, this.endpointsThatMayHaveRun).encode());
		this.sentTo.add("through:" + target.name());
		this.router.log().count(EntryMetrics.Count.RELAYED);
		this.connection = this.router.relays()
			.send(target, createRequest(headers), id(), !this.admitted.route().mayRunAgain(), this);
	}

	private void beginSend(long now) {
		this.sendCount++;
		this.writeStarted = false;
		this.responseHead = null;
		this.relayingStream = false;
		this.sentAtNanos = now;
		this.progress = new SendProgress(now);
		this.activity.onProgress(now);
	}

	private HttpHeaders copyRequestHeaders() {
		return DefaultHttpHeadersFactory.headersFactory()
			.withValidation(false)
			.newHeaders()
			.add(this.callerRequest.head().headers());
	}

	private Optional<Long> resumeAfter() {
		return this.framer.lastEventId().or(this.requestFields::lastEventId);
	}

	private DefaultFullHttpRequest createRequest(HttpHeaders headers) {
		ByteBuf body = this.callerRequest.body().retainedDuplicate();
		if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| this.callerRequest.head().headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.callerRequest.head().method(),
				this.callerRequest.head().uri(), body, headers, EmptyHttpHeaders.INSTANCE);
	}

	private boolean isSending() {
		return this.endpoint != null || this.peer != null;
	}

	// Ends the current send, if there is one, and releases its reservations. The time
	// that it took is in ms; negative if it does not count as a response time.
	private void endSend(double tookMs) {
		if (!isSending()) {
			return;
		}
		if (this.peer != null) {
			this.router.relays().onEnded(this.peer);
		}
		else if (this.path != null) {
			this.router.loads().release(this.path, this.reservedTokens);
		}
		else {
			this.router.onPlainEnd(this.endpoint, this.sentAtNanos, tookMs);
		}
		this.endpoint = null;
		this.peer = null;
		this.connection = null;
		this.responseBuffer.clear();
	}

	@Override
	public void onRequestWriteStarted() {
		this.writeStarted = true;
	}

	@Override
	public void onResponseHead(HttpResponse head, HeaderTranslator.ResponseFields fields) {
		this.responseHead = head;
		this.responseFields = fields;
		this.progress.onHead();
		if (this.endpoint != null) {
			this.router.onResponseHead(this.endpoint, fields, this.sentAtNanos, System.nanoTime());
		}
		boolean success = head.status().code() / 100 == 2 && fields.signed() && !fields.contentEncoded()
				&& (this.peer == null || repliesFor(head, RelayReply.Kind.ENDPOINT));
		this.relayingStream = this.admitted.route().kind() == RouteKind.STREAMING && success;
		if (this.relayingStream) {
			this.activity.onProgress(System.nanoTime());
		}
	}

	private static boolean repliesFor(HttpResponse head, RelayReply.Kind kind) {
		return RelayReply.readFrom(head.headers()).filter((reply) -> reply.kind() == kind).isPresent();
	}

	@Override
	public void onResponseContent(ByteBuf content) {
		if (!this.relayingStream) {
			bufferContent(content);
			return;
		}
		byte[] bytes = new byte[content.readableBytes()];
		content.readBytes(bytes);
		long eventsBefore = this.framer.eventCount();
		byte[] events = this.framer.extractNewEvents(bytes);
		if (this.framer.exceedsLimit()) {
			this.connection.failBecauseOf(SendFailureCause.ENDLESS);
			return;
		}
		if (this.framer.eventCount() > eventsBefore) {
			onEventsReceived(System.nanoTime());
		}
		if (events.length > 0) {
			startStreamIfNeeded();
			this.caller.writeStreamContent(events);
		}
	}

	private void onEventsReceived(long now) {
		this.progress.onAnswer(now);
		if (!this.proven && this.progress.isProven(now)) {
			recordProven(now);
		}
		if (this.endpoint != null) {
			this.router.onContact(this.admitted.service(), now);
		}
		this.activity.onEvents(this.streamStarted, now);
		if (this.streamStarted && this.path != null
				&& this.activity.meanEventGapMs() > SilenceLimits.slowEventGapMs(this.admitted.route())) {
			this.router.probes().probeSlowStream(this.path, now);
		}
	}

	private void recordProven(long now) {
		this.proven = true;
		this.router.crashBlame().onAnswered(this.traits, now);
	}

	private void bufferContent(ByteBuf content) {
		this.progress.onAnswer(System.nanoTime());
		if (!this.responseBuffer.tryAppend(content)) {
			this.connection.failBecauseOf(SendFailureCause.ENDLESS);
		}
	}

	// Sends the response head to the caller unless an earlier send of the stream did so.
	private void startStreamIfNeeded() {
		if (!this.streamStarted) {
			this.streamStarted = true;
			this.router.log().recordFirstEvent(this.callerRequest.arrivalNanos(), this.activity.lastProgressNanos());
			this.caller.startStreamedResponse(this.responseHead, relayedHeaders());
		}
	}

	private HttpHeaders relayedHeaders() {
		HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory()
			.withValidation(false)
			.newHeaders()
			.add(this.responseHead.headers());
		this.router.headers().rewriteForCaller(headers);
		if (isOfOtherDaemon()) {
			new RelayReply(RelayReply.Kind.ENDPOINT, id()).writeTo(headers);
		}
		else {
			headers.remove(RelayEnvelope.FIELD);
		}
		return headers;
	}

	@Override
	public void onReadComplete() {
		if (this.relayingStream && this.streamStarted && !this.finished) {
			this.caller.flush();
			if (!this.caller.isWritable()) {
				this.connection.setReading(false);
			}
		}
	}

	void onCallerWritable(boolean writable) {
		if (this.connection != null && this.relayingStream) {
			this.connection.setReading(writable);
			this.activity.onProgress(System.nanoTime());
		}
	}

	@Override
	public void onResponseComplete() {
		if (this.finished) {
			return;
		}
		if (this.relayingStream) {
			onStreamComplete();
		}
		else {
			onPlainResponseComplete();
		}
	}

	private void onStreamComplete() {
		if (this.framer.hasPartialEvent()) {
			onSendFailed(SendFailureCause.GARBLED);
			return;
		}
		long now = System.nanoTime();
		if (this.progress.hasBegun()) {
			recordProven(now);
		}
		if (this.endpoint != null) {
			this.router.faults().recordResponse(this.endpoint.id(), false, now);
		}
		path().ifPresent((used) -> used.stages()
			.forEach((stage) -> this.router.faults().recordSuccess(stage.endpoint().id(), now)));
		startStreamIfNeeded();
		finish(Outcome.SERVED, "stream");
		this.caller.endStreamedResponse();
	}

	private void onPlainResponseComplete() {
		int status = this.responseHead.status().code();
		long now = System.nanoTime();
		if (this.peer != null) {
			onDaemonResponse(now);
			return;
		}
		if (this.responseFields.notExecuted() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			onNotExecuted(status, now);
			return;
		}
		boolean genuine = this.responseFields.signed() && !this.responseFields.contentEncoded();
		boolean claimsNotRun = status == 408 || status == 429 || status == 503;
		if (!genuine || claimsNotRun) {
			onSendFailed(SendFailureCause.GARBLED);
			return;
		}
		boolean failed = status >= 500;
		if (!failed && this.path == null) {
			recordProven(now);
		}
		if (failed) {
			this.router.onEndpointFailed(this.endpoint, now);
		}
		else {
			this.router.faults().recordResponse(this.endpoint.id(), false, now);
		}
		if (failed && this.admitted.route().mayRunAgain() && !this.streamStarted && recordRunAndTakeRetry()) {
			this.mayHaveRun = true;
			resend("status " + status);
			return;
		}
		if (this.streamStarted) {
			endSend(-1);
			suspend();
			return;
		}
		relayPlainResponse(Outcome.SERVED, now);
	}

	private void relayPlainResponse(Outcome outcome, long now) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, this.responseHead.status(),
				this.responseBuffer.body(), relayedHeaders(), EmptyHttpHeaders.INSTANCE);
		response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		endSend((response.status().code() < 500) ? (now - this.sentAtNanos) / 1e6 : -1);
		finish(outcome, "status " + response.status().code());
		this.caller.sendResponse(response);
	}

	// A response of another daemon is final, unless it has not taken the request.
	private void onDaemonResponse(long now) {
		if (repliesFor(this.responseHead, RelayReply.Kind.DECLINED)) {
			this.router.relays().onNotTaken(this.peer, this.admitted.service(), now);
			endSend(-1);
			dispatch();
			return;
		}
		boolean ofEndpoint = repliesFor(this.responseHead, RelayReply.Kind.ENDPOINT);
		boolean genuine = ofEndpoint == this.responseFields.signed() && !this.responseFields.contentEncoded();
		if (!genuine || !(ofEndpoint || repliesFor(this.responseHead, RelayReply.Kind.DAEMON))) {
			onSendFailed(SendFailureCause.GARBLED);
			return;
		}
		if (this.streamStarted) {
			endSend(-1);
			suspend();
			return;
		}
		relayPlainResponse((ofEndpoint) ? Outcome.SERVED : Outcome.ofOwnStatus(this.responseHead.status().code()), now);
	}

	private void onNotExecuted(int status, long now) {
		String faultyAddress = this.responseFields.faultAddress().orElse(SocketAddresses.text(this.endpoint.address()));
		boolean causedByOther = this.router.recordEndpointRefusal(this.endpoint, faultyAddress, status, now);
		// The first endpoint of the path stays usable if another one caused the refusal.
		String refusingId = this.endpoint.id();
		if (!causedByOther) {
			this.excludedEndpoints.add(refusingId);
		}
		if (this.sendCount < maxSends() && this.router.tryTakeRetry(this.admitted.service(), now)) {
			endSend(-1);
			dispatch();
			return;
		}
		endSend(-1);
		refuseOrSuspend("the endpoint cannot take the request now", "endpoint refused with " + status,
				this.router.capacityRetryMs());
	}

	// Records that the current endpoint may have run the request. Returns whether it may
	// run once more, and if so takes a retry from the budget.
	private boolean recordRunAndTakeRetry() {
		this.endpointsThatMayHaveRun.add(this.endpoint.id());
		return (hasAttemptsLeft() || this.streamStarted) && this.sendCount < maxSends()
				&& this.router.tryTakeRetry(this.admitted.service(), System.nanoTime());
	}

	private int maxSends() {
		return (this.streamStarted) ? MAX_STREAM_SENDS : MAX_SENDS;
	}

	// Ends the current send, excludes its endpoint and dispatches the request again.
	private void resend(String reason) {
		this.excludedEndpoints.add(this.endpoint.id());
		dispatchAgain(reason);
	}

	// Ends the current send and dispatches the request again, to any endpoint that is not
	// excluded.
	private void dispatchAgain(String reason) {
		this.router.log().recordMove(id(), this.endpoint.id(), reason);
		endSend(-1);
		dispatch();
	}

	@Override
	public void onSendFailed(SendFailureCause cause) {
		if (this.finished) {
			return;
		}
		long now = System.nanoTime();
		if (this.peer != null) {
			onRelayFailed(cause, now);
			return;
		}
		String endpointId = this.endpoint.id();
		this.router.log()
			.recordBrokenSend(id(), this.endpoint, cause, this.progress.describe(now),
					this.requestFields.sharedPromptParts(), this.digest);
		if (cause == SendFailureCause.NOT_CONNECTED) {
			cause.fault().ifPresent((kind) -> this.router.faults().recordFault(kind, endpointId, now));
			if (this.sendCount < MAX_SENDS) {
				resend("no connection");
				return;
			}
			endSend(-1);
			failRequest("no connection to an endpoint");
			return;
		}
		if (cause.isCausedByTarget()) {
			this.router.onEndpointFailed(this.endpoint, now);
			cause.fault().ifPresent((kind) -> this.router.faults().recordFault(kind, endpointId, now));
			this.excludedEndpoints.add(endpointId);
		}
		this.mayHaveRun = true;
		this.framer.dropPartialEvent();
		if (cause == SendFailureCause.CLOSED && !this.proven && !this.progress.isProven(now)) {
			if (this.path == null) {
				this.router.checkWhetherEnded(this.endpoint);
			}
			this.router.crashBlame()
				.onSendBroken(this.endpoint.processId(), new SuspectRequest(id(), this.traits), now);
			if (hasEndedAnotherEndpoint() || !this.router.crashBlame().mayRepeat(this.traits, now)) {
				endSend(-1);
				failRequest("endpoint " + endpointId + " ended, as did others before");
				return;
			}
		}
		if (this.admitted.route().mayRunAgain() && recordRunAndTakeRetry()) {
			dispatchAgain(cause.name());
			return;
		}
		endSend(-1);
		if (this.streamStarted && this.admitted.route().mayRunAgain() && this.sendCount < maxSends()) {
			suspend();
			return;
		}
		failRequest("endpoint " + endpointId + " broke off: " + cause);
	}

	// The connection to another daemon failed. An endpoint may have run the request if
	// that daemon had it.
	private void onRelayFailed(SendFailureCause cause, long now) {
		String name = this.peer.name();
		this.router.relays().onNotTaken(this.peer, this.admitted.service(), now);
		if (cause == SendFailureCause.NOT_CONNECTED) {
			endSend(-1);
			dispatch();
			return;
		}
		this.mayHaveRun = true;
		this.framer.dropPartialEvent();
		this.endpointsThatMayHaveRun.add("through:" + name);
		boolean mayRunAgain = this.admitted.route().mayRunAgain() && (hasAttemptsLeft() || this.streamStarted)
				&& this.sendCount < maxSends();
		if (mayRunAgain && this.router.tryTakeRetry(this.admitted.service(), now)) {
			this.router.log().recordMove(id(), name, cause.name());
			endSend(-1);
			dispatch();
			return;
		}
		endSend(-1);
		if (mayRunAgain && this.streamStarted) {
			suspend();
			return;
		}
		failRequest("daemon " + name + " broke off: " + cause);
	}

	// No endpoint of the service can be reached. Passes the request on if it has not been
	// written to one.
	void onServiceLost(String service) {
		boolean unsent = this.endpoint != null && this.connection != null && !this.writeStarted;
		if (!this.finished && unsent && this.admitted.service().equals(service)) {
			this.connection.abort();
			endSend(-1);
			dispatch();
		}
	}

	// Tells whether an endpoint that may have run the request before the current one has
	// ended since.
	private boolean hasEndedAnotherEndpoint() {
		return this.endpointsThatMayHaveRun.stream()
			.anyMatch((id) -> !id.equals(this.endpoint.id()) && this.router.hasEndpointFailed(id));
	}

	// Ends the current send because a stage of its path stopped, but only if another
	// endpoint or path can take the request: a silent endpoint may still continue its
	// response.
	void abandonSend(SendFailureCause cause) {
		if (this.finished || this.connection == null || !this.admitted.route().mayRunAgain()) {
			return;
		}
		long now = System.nanoTime();
		boolean maySendAgain = this.sendCount < maxSends() && this.router.hasRetryLeft(this.admitted.service(), now);
		if (maySendAgain && hasAlternative(cause, now)) {
			this.connection.abort();
			onSendFailed(cause);
		}
	}

	// Tells whether another endpoint or path can take the request. Records that the
	// current endpoint may have run it.
	private boolean hasAlternative(SendFailureCause cause, long now) {
		if (this.peer != null) {
			return choosePeer(now).isPresent();
		}
		String current = this.endpoint.id();
		this.endpointsThatMayHaveRun.add(current);
		if (!this.router.maySendDirectly(this.admitted.service())) {
			return choosePeer(now).isPresent();
		}
		if (this.path == null) {
			Set<String> used = new HashSet<>(this.excludedEndpoints);
			used.add(current);
			return hasAttemptsLeft() && this.router.choosePlainEndpoint(this.admitted.service(), used, now).isPresent();
		}
		return this.router
			.findPath(this.admitted, this.reservedTokens,
					(first) -> !(cause.isCausedByTarget() && first.id().equals(current)) && mayBeFirstStage(first), now)
			.filter((other) -> !other.hasSameStages(this.path))
			.isPresent();
	}

	// Suspends a stream that has started until a path over all layers has capacity again.
	private void suspend() {
		this.suspended = true;
		this.lastResumeAttemptNanos = System.nanoTime();
		this.excludedEndpoints.clear();
		this.triedPeers.clear();
	}

	// Looks for a path again. Takes a retry from the budget only once there is a path.
	private void tryResume(long now) {
		this.lastResumeAttemptNanos = now;
		OptionalLong crashRefusalMs = this.router.crashRefusalMs(this.traits, now);
		if (crashRefusalMs.isPresent()) {
			refuseAsCrashing(crashRefusalMs.getAsLong());
			return;
		}
		if (!this.router.mayStillSend(this.admitted)) {
			return;
		}
		Optional<RelayPeer> other = choosePeer(now);
		if (other.isPresent()) {
			if (this.router.tryTakeRetry(this.admitted.service(), now)) {
				this.suspended = false;
				passOn(other.get(), now);
			}
			return;
		}
		Optional<Endpoint> target = (this.router.maySendDirectly(this.admitted.service())) ? chooseTarget(now)
				: Optional.empty();
		if (target.isPresent() && this.router.tryTakeRetry(this.admitted.service(), now)) {
			this.suspended = false;
			sendTo(target.get(), now);
		}
	}

	// Ends a request that no endpoint can take now: refuses it, fails it if it may have
	// run, or suspends it if its stream has started.
	private void refuseOrSuspend(String message, String reason, long retryAfterMs) {
		if (this.streamStarted) {
			suspend();
		}
		else if (this.mayHaveRun) {
			failRequest(reason);
		}
		else {
			respond(OwnResponses.create(HttpResponseStatus.SERVICE_UNAVAILABLE, message, retryAfterMs), Outcome.REFUSED,
					reason);
		}
	}

	// Ends a request that would crash the next endpoint, too.
	private void refuseAsCrashing(long retryAfterMs) {
		String reason = "requests like it crash endpoints";
		if (this.streamStarted || this.mayHaveRun) {
			failRequest(reason);
			return;
		}
		respond(OwnResponses.create(HttpResponseStatus.SERVICE_UNAVAILABLE,
				"requests like this one crash the endpoints", retryAfterMs), Outcome.REFUSED, reason);
	}

	private void failRequest(String reason) {
		if (this.streamStarted) {
			breakOffStream(reason);
			return;
		}
		HttpResponseStatus status = (this.mayHaveRun) ? HttpResponseStatus.BAD_GATEWAY
				: HttpResponseStatus.SERVICE_UNAVAILABLE;
		long retryAfterMs = (this.mayHaveRun) ? -1 : this.router.capacityRetryMs();
		respond(OwnResponses.create(status, "the endpoint failed", retryAfterMs),
				(this.mayHaveRun) ? Outcome.FAILED : Outcome.REFUSED, reason);
	}

	private void breakOffStream(String reason) {
		endSend(-1);
		finish(Outcome.BROKEN_OFF, reason);
		this.caller.abortResponse();
	}

	private void timeOut(String reason) {
		if (this.connection != null) {
			this.mayHaveRun |= this.writeStarted;
			this.connection.abort();
		}
		endSend(-1);
		if (this.streamStarted) {
			breakOffStream(reason);
			return;
		}
		respond(OwnResponses.create(HttpResponseStatus.GATEWAY_TIMEOUT, "no response in time", -1), Outcome.TIMED_OUT,
				reason);
	}

	private void respond(DefaultFullHttpResponse response, Outcome outcome, String reason) {
		if (isOfOtherDaemon()) {
			new RelayReply(RelayReply.Kind.DAEMON, id()).writeTo(response.headers());
		}
		finish(outcome, reason);
		this.caller.sendResponse(response);
	}

	private void finish(Outcome outcome, String reason) {
		if (this.finished) {
			return;
		}
		endSend(-1);
		this.finished = true;
		if (this.countedAsTaken) {
			this.router.relays().release();
		}
		this.callerRequest.release(this.router.buffers());
		this.router.onRequestClosed(this, outcome, reason);
	}

	/**
	 * The caller closed its connection. Closes the connection to the endpoint, which
	 * cancels the work there.
	 */
	void onCallerDisconnected() {
		if (this.connection != null) {
			this.connection.abort();
		}
		finish(Outcome.CALLER_LEFT, "connection closed");
	}

	// Checks the deadline, resumes a suspended stream, and acts on silent endpoints.
	// Called periodically.
	void checkTimeouts(long nowNanos) {
		if (this.finished || (!isSending() && !this.suspended)) {
			return;
		}
		if (remainingMs(nowNanos) <= 0) {
			timeOut("deadline");
			return;
		}
		if (this.suspended) {
			boolean due = nowNanos - this.lastResumeAttemptNanos >= TimeUnit.MILLISECONDS.toNanos(RESUME_INTERVAL_MS);
			if (due) {
				tryResume(nowNanos);
			}
			return;
		}
		long silenceMs = this.activity.silenceMs(nowNanos);
		Route route = this.admitted.route();
		if (this.peer != null) {
			if (silenceMs >= DAEMON_SILENCE_MS) {
				abandonSend(SendFailureCause.SILENT);
			}
			return;
		}
		this.router.checkProgress(this.admitted.service(), silenceMs, !this.writeStarted, nowNanos);
		if (this.finished || this.endpoint == null) {
			return;
		}
		if (this.path != null) {
			probeSilentStream(nowNanos, silenceMs, route);
		}
		else if (route.mayRunAgain() && this.writeStarted && this.responseHead == null
				&& silenceMs >= SilenceLimits.plainMs(route)
				&& this.endpointsThatMayHaveRun.size() + 1 < route.maxAttempts()) {
			abandonSend(SendFailureCause.SILENT);
		}
	}

	// Probes the first endpoint of a stream that made no progress for too long.
	private void probeSilentStream(long nowNanos, long silenceMs, Route route) {
		long silenceLimitMs = (this.streamStarted) ? SilenceLimits.eventGapMs(route)
				: SilenceLimits.firstEventMs(route);
		if (!this.writeStarted || silenceMs < silenceLimitMs || this.activity.isProbedRecently(nowNanos)
				|| !this.caller.isWritable()) {
			return;
		}
		this.activity.onProbeStarted(nowNanos);
		EndpointConnection probedConnection = this.connection;
		this.router.probes().probeSilentStream(this, this.endpoint, (result) -> {
			this.activity.onProbeEnded();
			if (!this.finished && probedConnection == this.connection) {
				result.failureCause().ifPresent(this::abandonSend);
			}
		});
	}

	long ageMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.callerRequest.arrivalNanos());
	}

	String describeSends() {
		return "ms=" + ageMs() + " sends=" + this.sendCount + " endpoints=" + this.sentTo + " on_connection="
				+ this.caller.requestCount();
	}

}
