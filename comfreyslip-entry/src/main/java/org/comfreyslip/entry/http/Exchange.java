package org.comfreyslip.entry.http;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
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
import org.comfreyslip.entry.stream.EventFramer;

/**
 * One request of a caller from its arrival to its final response: admission, the sends to
 * endpoints, and the handling of their results. At most one send is open at a time.
 */
final class Exchange implements ResponseListener {

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

	/** The admitted request, or null before admission. */
	private RequestAdmission.AdmittedRequest admitted;

	private final SendAttempts attempts;

	/** What the choice of a target depends on, or null before admission. */
	private TargetQuery query;

	/** Digest that only this request has when it is sent again. */
	private String digest = "";

	/** What other requests that crash endpoints may have in common with this one. */
	private Set<String> traits = Set.of();

	/** Whether an endpoint has answered for some time, so that this one crashes none. */
	private boolean proven;

	/** Steady time in ns at which the request times out. */
	private long deadlineNanos;

	/** The target of the current or last send, or null before the first one. */
	private SendTarget target;

	/** Whether a send is open. */
	private boolean sending;

	/** Whether the request, of another daemon, counts against their number here. */
	private boolean countedAsTaken;

	/** The connection of the current send, or null if no send is open. */
	private EndpointConnection connection;

	/** Whether the write of the current send to an open connection has started. */
	private boolean writeStarted;

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
		this.attempts = new SendAttempts(callerRequest.envelope(), router.faults()::hasExitedUnexpectedly);
	}

	// Tells whether another daemon passed the request on.
	boolean isOfOtherDaemon() {
		return this.callerRequest.envelope().isPresent();
	}

	String id() {
		return this.requestFields.attemptId();
	}

	// Returns the path of the current or last send; empty for plain services and daemons.
	Optional<LayerPath> path() {
		return Optional.ofNullable(this.target).flatMap(SendTarget::path);
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
		this.query = TargetQuery.of(this.admitted, this.requestFields, this.attempts);
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
		Optional<Refusal> obstacle = findObstacle(now);
		if (obstacle.isPresent()) {
			refuse(obstacle.get());
			return;
		}
		TargetChoice choice = this.router.targets().choose(this.query, now);
		choice.heldBack().forEach((endpoint) -> this.router.endpointLimits().recordHeldBack(endpoint.id()));
		choice.target().ifPresentOrElse((next) -> send(next, now), () -> onNoTarget(choice, now));
	}

	private Optional<Refusal> findObstacle(long now) {
		if (!this.router.mayStillSend(this.admitted)) {
			return Optional.of(this.router.refusals().ofStaleKeys());
		}
		return this.router.refusals().ofCrashing(this.traits, now);
	}

	// Ends or suspends a request that has no target. A request of another daemon that has
	// not run here is given back to it.
	private void onNoTarget(TargetChoice choice, long now) {
		if (choice.reachable() && this.query.isForEngine()) {
			logMissingPath(choice.heldBack().size(), now);
		}
		if (!choice.reachable() && isOfOtherDaemon() && !this.streamStarted && !this.attempts.hasRunHere()) {
			decline(RefusalCause.OUT_OF_REACH.reason());
			return;
		}
		refuse(this.router.refusals().ofNoTarget(this.query, choice, now));
	}

	private void logMissingPath(int heldBackCount, long now) {
		List<Endpoint> engines = this.router.targets().usableEngines(this.admitted.service(), now);
		this.router.log()
			.recordMissingPath(id(), engines.size(), this.router.targets().missingLayers(this.query, engines),
					heldBackCount, now);
	}

	// Tells the daemon that passed the request on that it has not run here.
	private void decline(String reason) {
		this.router.log().count(EntryMetrics.Count.RELAYS_DECLINED);
		DefaultFullHttpResponse response = OwnResponses.create(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, -1);
		new RelayReply(RelayReply.Kind.DECLINED, id()).writeTo(response.headers());
		finish(Outcome.REFUSED, "declined: " + reason);
		this.caller.sendResponse(response);
	}

	private void send(SendTarget next, long now) {
		this.target = next;
		this.sending = true;
		this.writeStarted = false;
		this.responseHead = null;
		this.relayingStream = false;
		this.sentAtNanos = now;
		this.progress = new SendProgress(now);
		this.activity.onProgress(now);
		this.attempts.onSend(next);
		Optional<Long> resumeAfter = this.framer.lastEventId().or(this.requestFields::lastEventId);
		OutgoingRequest request = new OutgoingRequest(this.callerRequest, id(), this.admitted,
				Math.max(1, remainingMs(now)), resumeAfter, this.attempts.envelope(this.admitted.version()));
		this.connection = this.router.sender().start(next, request, this, now);
	}

	private boolean isAtEndpoint() {
		return this.sending && this.target.endpoint().isPresent();
	}

	private boolean isAtDaemon() {
		return this.sending && this.target.daemon().isPresent();
	}

	// Returns the endpoint of the current send, which is not to a daemon.
	private Endpoint endpoint() {
		return this.target.endpoint().get();
	}

	// Ends the current send, if there is one, and releases its reservations. The time
	// that it took is in ms; negative if it does not count as a response time.
	private void endSend(double tookMs) {
		if (!this.sending) {
			return;
		}
		this.router.sender().end(this.target, this.sentAtNanos, tookMs);
		this.sending = false;
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
		if (isAtEndpoint()) {
			this.router.onResponseHead(endpoint(), fields, this.sentAtNanos, System.nanoTime());
		}
		boolean success = head.status().code() / 100 == 2 && fields.signed() && !fields.contentEncoded()
				&& (!isAtDaemon() || repliesFor(head, RelayReply.Kind.ENDPOINT));
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
		if (isAtEndpoint()) {
			this.router.onContact(this.admitted.service(), now);
		}
		this.activity.onEvents(this.streamStarted, now);
		if (this.streamStarted
				&& this.activity.meanEventGapMs() > SilenceLimits.slowEventGapMs(this.admitted.route())) {
			path().ifPresent((path) -> this.router.probes().probeSlowStream(path, now));
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
		if (isAtEndpoint()) {
			this.router.faults().recordResponse(endpoint().id(), false, now);
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
		if (isAtDaemon()) {
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
		if (!failed && path().isEmpty()) {
			recordProven(now);
		}
		if (failed) {
			this.router.onEndpointFailed(endpoint(), now);
		}
		else {
			this.router.faults().recordResponse(endpoint().id(), false, now);
		}
		if (failed && this.admitted.route().mayRunAgain() && !this.streamStarted && recordRunAndTakeRetry()) {
			this.attempts.recordUnknownOutcome();
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
			this.router.relays().onNotTaken(this.target.daemon().get(), this.admitted.service(), now);
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
		String faultyAddress = this.responseFields.faultAddress().orElse(SocketAddresses.text(endpoint().address()));
		boolean causedByOther = this.router.recordEndpointRefusal(endpoint(), faultyAddress, status, now);
		// The first endpoint of the path stays usable if another one caused the refusal.
		String refusingId = endpoint().id();
		if (!causedByOther) {
			this.attempts.exclude(refusingId);
		}
		if (this.attempts.hasSendsLeft(this.streamStarted) && this.router.tryTakeRetry(this.admitted.service(), now)) {
			endSend(-1);
			dispatch();
			return;
		}
		endSend(-1);
		refuse(this.router.refusals().ofEndpointRefusal(status));
	}

	// Records that the current endpoint may have run the request. Returns whether it may
	// run once more, and if so takes a retry from the budget.
	private boolean recordRunAndTakeRetry() {
		this.attempts.recordRun(this.target);
		return (this.attempts.hasRunsLeft(this.admitted.route()) || this.streamStarted)
				&& this.attempts.hasSendsLeft(this.streamStarted)
				&& this.router.tryTakeRetry(this.admitted.service(), System.nanoTime());
	}

	// Ends the current send, excludes its endpoint and dispatches the request again.
	private void resend(String reason) {
		this.attempts.exclude(endpoint().id());
		dispatchAgain(reason);
	}

	// Ends the current send and dispatches the request again, to any endpoint that is not
	// excluded.
	private void dispatchAgain(String reason) {
		this.router.log().recordMove(id(), endpoint().id(), reason);
		endSend(-1);
		dispatch();
	}

	@Override
	public void onSendFailed(SendFailureCause cause) {
		if (this.finished) {
			return;
		}
		long now = System.nanoTime();
		if (isAtDaemon()) {
			onRelayFailed(cause, now);
			return;
		}
		String endpointId = endpoint().id();
		this.router.log()
			.recordBrokenSend(id(), endpoint(), cause, this.progress.describe(now),
					this.requestFields.sharedPromptParts(), this.digest);
		if (cause == SendFailureCause.NOT_CONNECTED) {
			cause.fault().ifPresent((kind) -> this.router.faults().recordFault(kind, endpointId, now));
			if (this.attempts.hasSendsLeft(false)) {
				resend("no connection");
				return;
			}
			endSend(-1);
			failRequest("no connection to an endpoint");
			return;
		}
		if (cause.isCausedByTarget()) {
			this.router.onEndpointFailed(endpoint(), now);
			cause.fault().ifPresent((kind) -> this.router.faults().recordFault(kind, endpointId, now));
			this.attempts.exclude(endpointId);
		}
		this.attempts.recordUnknownOutcome();
		this.framer.dropPartialEvent();
		if (cause == SendFailureCause.CLOSED && !this.proven && !this.progress.isProven(now)) {
			if (path().isEmpty()) {
				this.router.checkWhetherEnded(endpoint());
			}
			this.router.crashBlame().onSendBroken(endpoint().processId(), new SuspectRequest(id(), this.traits), now);
			if (this.attempts.hasEndedEndpointBesides(endpointId)
					|| !this.router.crashBlame().mayRepeat(this.traits, now)) {
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
		if (this.streamStarted && this.admitted.route().mayRunAgain()
				&& this.attempts.hasSendsLeft(this.streamStarted)) {
			suspend();
			return;
		}
		failRequest("endpoint " + endpointId + " broke off: " + cause);
	}

	// The connection to another daemon failed. An endpoint may have run the request if
	// that daemon had it.
	private void onRelayFailed(SendFailureCause cause, long now) {
		String name = this.target.daemon().get().name();
		this.router.relays().onNotTaken(this.target.daemon().get(), this.admitted.service(), now);
		if (cause == SendFailureCause.NOT_CONNECTED) {
			endSend(-1);
			dispatch();
			return;
		}
		this.attempts.recordUnknownOutcome();
		this.framer.dropPartialEvent();
		this.attempts.recordRun(this.target);
		boolean mayRunAgain = this.admitted.route().mayRunAgain()
				&& (this.attempts.hasRunsLeft(this.admitted.route()) || this.streamStarted)
				&& this.attempts.hasSendsLeft(this.streamStarted);
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
		boolean unsent = isAtEndpoint() && this.connection != null && !this.writeStarted;
		if (!this.finished && unsent && this.admitted.service().equals(service)) {
			this.connection.abort();
			endSend(-1);
			dispatch();
		}
	}

	// Ends the current send because a stage of its path stopped, but only if another
	// endpoint or path can take the request: a silent endpoint may still continue its
	// response.
	void abandonSend(SendFailureCause cause) {
		if (this.finished || this.connection == null || !this.admitted.route().mayRunAgain()) {
			return;
		}
		long now = System.nanoTime();
		boolean maySendAgain = this.attempts.hasSendsLeft(this.streamStarted)
				&& this.router.hasRetryLeft(this.admitted.service(), now);
		if (!maySendAgain) {
			return;
		}
		if (isAtEndpoint()) {
			this.attempts.recordRun(this.target);
		}
		if (this.router.targets().hasAlternative(this.query, this.target, cause, now)) {
			this.connection.abort();
			onSendFailed(cause);
		}
	}

	// Suspends a stream that has started until a path over all layers has capacity again.
	private void suspend() {
		this.suspended = true;
		this.lastResumeAttemptNanos = System.nanoTime();
		this.attempts.readmitAll();
	}

	// Looks for a path again. Takes a retry from the budget only once there is a path.
	private void tryResume(long now) {
		this.lastResumeAttemptNanos = now;
		Optional<Refusal> crashing = this.router.refusals().ofCrashing(this.traits, now);
		if (crashing.isPresent()) {
			refuse(crashing.get());
			return;
		}
		if (!this.router.mayStillSend(this.admitted)) {
			return;
		}
		Optional<SendTarget> next = this.router.targets().choose(this.query, now).target();
		if (next.isPresent() && this.router.tryTakeRetry(this.admitted.service(), now)) {
			this.suspended = false;
			send(next.get(), now);
		}
	}

	// Ends a request that is not sent now: refuses it, fails it if it may have run, or
	// suspends it if its stream has started and may go on later.
	private void refuse(Refusal refusal) {
		if (this.streamStarted && refusal.cause().isTemporary()) {
			suspend();
		}
		else if (this.streamStarted || this.attempts.isOutcomeUnknown()) {
			failRequest(refusal.reason());
		}
		else {
			respond(refusal.response(), Outcome.REFUSED, refusal.reason());
		}
	}

	private void failRequest(String reason) {
		if (this.streamStarted) {
			breakOffStream(reason);
			return;
		}
		HttpResponseStatus status = (this.attempts.isOutcomeUnknown()) ? HttpResponseStatus.BAD_GATEWAY
				: HttpResponseStatus.SERVICE_UNAVAILABLE;
		long retryAfterMs = (this.attempts.isOutcomeUnknown()) ? -1 : this.router.refusals().capacityRetryMs();
		respond(OwnResponses.create(status, "the endpoint failed", retryAfterMs),
				(this.attempts.isOutcomeUnknown()) ? Outcome.FAILED : Outcome.REFUSED, reason);
	}

	private void breakOffStream(String reason) {
		endSend(-1);
		finish(Outcome.BROKEN_OFF, reason);
		this.caller.abortResponse();
	}

	private void timeOut(String reason) {
		if (this.connection != null) {
			if (this.writeStarted) {
				this.attempts.recordUnknownOutcome();
			}
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
		if (this.finished || (!this.sending && !this.suspended)) {
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
		if (isAtDaemon()) {
			if (silenceMs >= DAEMON_SILENCE_MS) {
				abandonSend(SendFailureCause.SILENT);
			}
			return;
		}
		this.router.checkProgress(this.admitted.service(), silenceMs, !this.writeStarted, nowNanos);
		if (this.finished || !isAtEndpoint()) {
			return;
		}
		if (path().isPresent()) {
			probeSilentStream(nowNanos, silenceMs, route);
		}
		else if (route.mayRunAgain() && this.writeStarted && this.responseHead == null
				&& silenceMs >= SilenceLimits.plainMs(route) && this.attempts.runCount() + 1 < route.maxAttempts()) {
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
		this.router.probes().probeSilentStream(this, endpoint(), (result) -> {
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
		return "ms=" + ageMs() + " " + this.attempts.describe() + " on_connection=" + this.caller.requestCount();
	}

}
