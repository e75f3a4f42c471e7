package org.comfreyslip.entry.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.RouteKind;
import org.comfreyslip.entry.stream.EventFramer;

/**
 * One request of a caller from its arrival to its final response: admission, the sends to
 * endpoints, and the handling of their results. At most one send is open at a time.
 */
final class Exchange implements ResponseListener {

	private final Router router;

	private final CallerConnection caller;

	private final CallerConnection.IncomingRequest callerRequest;

	private final HeaderTranslator.RequestFields requestFields;

	/** The admitted request, or null before admission. */
	private RequestAdmission.AdmittedRequest admitted;

	private final SendAttempts attempts;

	/** What the choice of a target depends on, or null before admission. */
	private TargetQuery query;

	/** Whether the request may crash endpoints, or null before admission. */
	private CrashSuspicion suspicion;

	/** Time at which the request times out, or null before admission. */
	private RequestDeadline deadline;

	/** The current or last send, or null before the first one. */
	private SendState send;

	/** Whether the request, of another daemon, counts against their number here. */
	private boolean countedAsTaken;

	private final StreamActivity activity = new StreamActivity();

	private final CallerResponse callerResponse;

	private final EventFramer framer;

	/** Whether the final response, or the end of the stream, has been decided. */
	private boolean finished;

	private final Suspension suspension = new Suspension();

	Exchange(Router router, CallerConnection caller, CallerConnection.IncomingRequest callerRequest) {
		this.router = router;
		this.caller = caller;
		this.callerRequest = callerRequest;
		this.requestFields = router.headers().readRequest(callerRequest.head());
		this.framer = new EventFramer(this.requestFields.lastEventId());
		this.callerResponse = new CallerResponse(caller, router.headers(), id(), isOfOtherDaemon());
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
		return Optional.ofNullable(this.send).flatMap((one) -> one.target().path());
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
		this.suspicion = new CrashSuspicion(this.router.crashBlame(), this.callerRequest, this.requestFields,
				this.admitted);
		this.deadline = RequestDeadline.of(this.callerRequest.arrivalNanos(), this.admitted.route(),
				this.requestFields);
		this.router.onRequestOpened(this, this.admitted);
		dispatch();
	}

	// Sends the request to the target that suits it best now, or ends or suspends it.
	private void dispatch() {
		long now = System.nanoTime();
		this.suspension.end();
		if (!this.deadline.allowsSend(now)) {
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
		choice.target().ifPresentOrElse((target) -> startSend(target, now), () -> onNoTarget(choice, now));
	}

	private Optional<Refusal> findObstacle(long now) {
		if (!this.router.mayStillSend(this.admitted)) {
			return Optional.of(this.router.refusals().ofStaleKeys(this.router.staleRetryMs()));
		}
		if (!this.attempts.hasSent() && !this.router.allowsFirstSend(this.deadline, now)) {
			return Optional.of(this.router.refusals().ofStopping());
		}
		return this.router.refusals().ofCrashing(this.suspicion.traits(), now);
	}

	// Ends or suspends a request that has no target.
	private void onNoTarget(TargetChoice choice, long now) {
		if (choice.reachable() && this.query.isForEngine()) {
			this.router.log()
				.recordMissingPath(id(), this.router.targets().describeMissingPath(this.query, now),
						choice.heldBack().size(), now);
		}
		refuse(this.router.refusals().ofNoTarget(this.query, choice, now));
	}

	// Tells the daemon that passed the request on that it has not run here.
	private void decline(String reason) {
		this.router.log().count(EntryMetrics.Count.RELAYS_DECLINED);
		finish(Outcome.REFUSED, "declined: " + reason);
		this.callerResponse.sendDeclined(reason);
	}

	private void startSend(SendTarget target, long now) {
		this.send = new SendState(target, this.router.buffers(), now);
		this.activity.onProgress(now);
		this.attempts.onSend(target);
		this.framer.beginRun();
		Optional<Long> resumeAfter = this.framer.lastEventId().or(this.requestFields::lastEventId);
		OutgoingRequest request = new OutgoingRequest(this.callerRequest, id(), this.admitted,
				Math.max(1, this.deadline.remainingMs(now)), resumeAfter,
				this.attempts.envelope(this.admitted.version()));
		EndpointConnection connection = this.router.sender().start(target, request, this, now);
		this.attempts.recordConnection(connection);
		this.send.setConnection(connection);
	}

	private boolean isSending() {
		return this.send != null && this.send.isOpen();
	}

	private boolean isAtEndpoint() {
		return isSending() && this.send.isToEndpoint();
	}

	private boolean isAtDaemon() {
		return isSending() && this.send.isToDaemon();
	}

	// Returns the connection of the current send; empty if no send is open.
	private Optional<EndpointConnection> connection() {
		return Optional.ofNullable(this.send).flatMap(SendState::connection);
	}

	// Ends the current send, if there is one, and releases its reservations. The time
	// that it took is in ms; negative if it does not count as a response time.
	private void endSend(double tookMs) {
		if (isSending()) {
			this.router.sender().end(this.send.target(), this, this.send.startedAtNanos(), tookMs);
			this.send.end();
		}
	}

	@Override
	public boolean hasUsed(EndpointConnection connection) {
		return this.attempts.hasUsed(connection);
	}

	@Override
	public void onRequestWriteStarted() {
		this.send.onWriteStarted();
	}

	@Override
	public void onResponseHead(HttpResponse head, HeaderTranslator.ResponseFields fields) {
		ReceivedResponse received = new ReceivedResponse(head, fields);
		this.send.onHead(received,
				this.admitted.route().kind() == RouteKind.STREAMING && this.callerResponse.mayStream(received));
		if (isAtEndpoint()) {
			this.router.onResponseHead(this.send.endpoint(), fields, this.send.startedAtNanos(), System.nanoTime());
		}
		if (this.send.isRelayingStream()) {
			this.activity.onProgress(System.nanoTime());
		}
	}

	@Override
	public void onResponseContent(ByteBuf content) {
		if (!this.send.isRelayingStream()) {
			this.send.bufferContent(content, System.nanoTime());
			return;
		}
		byte[] bytes = new byte[content.readableBytes()];
		content.readBytes(bytes);
		long eventsBefore = this.framer.eventCount();
		byte[] events = this.framer.extractNewEvents(bytes);
		if (this.framer.eventCount() > eventsBefore) {
			onEventsReceived(System.nanoTime());
		}
		passOn(events);
		SendFailureCause.of(this.framer).ifPresent((cause) -> {
			this.caller.flush();
			this.send.fail(cause);
		});
	}

	private void passOn(byte[] events) {
		if (events.length > 0) {
			startStreamIfNeeded();
			this.caller.writeStreamContent(events);
		}
	}

	private void onEventsReceived(long now) {
		if (!this.send.progress().hasBegun()) {
			this.router.sender().onFirstEvent(this, now);
		}
		this.send.progress().onAnswer(now);
		this.suspicion.onEvents(this.send.progress(), now);
		if (isAtEndpoint()) {
			this.router.onContact(this.admitted.service(), now);
		}
		this.activity.onEvents(this.callerResponse.isStreamStarted(), now);
		if (this.callerResponse.isStreamStarted()
				&& this.activity.meanEventGapMs() > SilenceLimits.slowEventGapMs(this.admitted.route())) {
			path().ifPresent((path) -> this.router.probes().probeSlowStream(path, now));
		}
	}

	// Sends the response head to the caller unless an earlier send of the stream did so.
	private void startStreamIfNeeded() {
		if (!this.callerResponse.isStreamStarted()) {
			this.router.log()
				.recordFirstEvent(this.callerRequest.arrivalNanos(), this.send.target().prompt(),
						this.activity.lastProgressNanos());
			this.callerResponse.startStream(this.send.response().head());
		}
	}

	@Override
	public void onReadComplete() {
		if (this.send.isRelayingStream() && this.callerResponse.isStreamStarted() && !this.finished) {
			this.caller.flush();
			if (!this.caller.isWritable()) {
				this.send.connection().get().setReading(false);
			}
		}
	}

	void onCallerWritable(boolean writable) {
		connection().filter((open) -> this.send.isRelayingStream()).ifPresent((open) -> {
			open.setReading(writable);
			this.activity.onProgress(System.nanoTime());
		});
	}

	@Override
	public void onResponseComplete(boolean bytesFollow) {
		if (this.finished) {
			return;
		}
		if (this.send.isRelayingStream()) {
			onStreamComplete();
		}
		else {
			onPlainResponseComplete(bytesFollow);
		}
	}

	private void onStreamComplete() {
		if (this.framer.hasPartialEvent()) {
			onSendFailed(SendFailureCause.GARBLED);
			return;
		}
		long now = System.nanoTime();
		if (this.send.progress().hasBegun()) {
			this.suspicion.onAnswered(now);
		}
		this.router.results().onStreamServed(this.send.target(), now);
		passOn(this.framer.finish());
		startStreamIfNeeded();
		finish(Outcome.SERVED, "stream");
		this.caller.endStreamedResponse();
	}

	private void onPlainResponseComplete(boolean bytesFollow) {
		ReceivedResponse response = this.send.response();
		int status = response.status();
		long now = System.nanoTime();
		if (isAtDaemon()) {
			onDaemonResponse(response, now);
			return;
		}
		if (response.isNotExecuted()) {
			onNotExecuted(response, now);
			return;
		}
		// A success that does not continue the stream is no response to the request.
		boolean foreign = this.callerResponse.isStreamStarted() && response.isSuccess(false);
		if (foreign || !response.isGenuineOfEndpoint() || this.send.buffer().holdsAnotherHead(id(), bytesFollow)) {
			onSendFailed(SendFailureCause.GARBLED);
			return;
		}
		boolean failed = status >= 500;
		if (!failed && path().isEmpty()) {
			this.suspicion.onAnswered(now);
		}
		this.router.results().onAnswered(this.send.endpoint(), failed, now);
		if (failed && this.admitted.route().mayRunAgain() && !this.callerResponse.isStreamStarted()
				&& recordRunAndTakeRetry()) {
			this.attempts.recordUnknownOutcome();
			resend("status " + status);
			return;
		}
		if (this.callerResponse.isStreamStarted()) {
			suspend();
			return;
		}
		relayPlainResponse(Outcome.SERVED, now);
	}

	private void relayPlainResponse(Outcome outcome, long now) {
		DefaultFullHttpResponse response = this.callerResponse.relay(this.send.response().head(),
				this.send.buffer().body());
		int status = response.status().code();
		endSend((status < 500) ? (now - this.send.startedAtNanos()) / 1e6 : -1);
		finish(outcome, "status " + status);
		this.callerResponse.sendRelayed(response);
	}

	// A response of another daemon is final, unless it has not taken the request.
	private void onDaemonResponse(ReceivedResponse response, long now) {
		if (response.isReply(RelayReply.Kind.DECLINED)) {
			this.router.relays().onNotTaken(this.send.target().daemon().get(), this.admitted.service(), now);
			redispatch();
			return;
		}
		if (!response.isGenuineOfDaemon()) {
			onSendFailed(SendFailureCause.GARBLED);
			return;
		}
		if (this.callerResponse.isStreamStarted()) {
			suspend();
			return;
		}
		boolean ofEndpoint = response.isReply(RelayReply.Kind.ENDPOINT);
		relayPlainResponse((ofEndpoint) ? Outcome.SERVED : Outcome.ofOwnStatus(response.status()), now);
	}

	private void onNotExecuted(ReceivedResponse response, long now) {
		boolean causedByOther = this.router.results().onRefused(this.send.endpoint(), response, now);
		// The first endpoint of the path stays usable if another one caused the refusal.
		if (!causedByOther) {
			this.attempts.exclude(this.send.endpoint().id());
		}
		if (this.attempts.hasSendsLeft(this.callerResponse.isStreamStarted())
				&& this.router.tryTakeRetry(this.admitted.service(), now)) {
			redispatch();
			return;
		}
		endSend(-1);
		refuse(this.router.refusals().ofEndpointRefusal(response.status()));
	}

	// Ends the current send and dispatches the request again.
	private void redispatch() {
		endSend(-1);
		dispatch();
	}

	// Records that the current endpoint may have run the request. Returns whether it may
	// run once more, and if so takes a retry from the budget.
	private boolean recordRunAndTakeRetry() {
		this.attempts.recordRun(this.send.target());
		return this.attempts.mayRepeat(this.admitted.route(), this.callerResponse.isStreamStarted())
				&& this.router.tryTakeRetry(this.admitted.service(), System.nanoTime());
	}

	// Ends the current send, excludes its endpoint and dispatches the request again.
	private void resend(String reason) {
		this.attempts.exclude(this.send.endpoint().id());
		dispatchAgain(reason);
	}

	// Ends the current send and dispatches the request again, to any endpoint that is not
	// excluded.
	private void dispatchAgain(String reason) {
		this.router.log().recordMove(id(), this.send.endpoint().id(), reason);
		redispatch();
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
		String endpointId = this.send.endpoint().id();
		this.router.log()
			.recordBrokenSend(id(), this.send.endpoint(), cause, this.send.progress().describe(now),
					this.requestFields.sharedPromptParts(), this.suspicion.digest());
		if (cause == SendFailureCause.NOT_CONNECTED) {
			this.router.results().onSendFailed(this.send.endpoint(), cause, now);
			if (this.attempts.hasSendsLeft(false)) {
				resend("no connection");
				return;
			}
			endSend(-1);
			failRequest("no connection to an endpoint");
			return;
		}
		if (cause.isCausedByTarget()) {
			this.router.results().onFailed(this.send.endpoint(), now);
			this.router.results().onSendFailed(this.send.endpoint(), cause, now);
			this.attempts.exclude(endpointId);
		}
		this.attempts.recordUnknownOutcome();
		if (this.suspicion.isPossible(cause, this.send.progress(), now)) {
			if (path().isEmpty()) {
				this.router.checkWhetherEnded(this.send.endpoint());
			}
			this.suspicion.onSendBroken(this.send.endpoint(), now);
			if (this.attempts.hasEndedEndpointBesides(endpointId) || !this.suspicion.mayRepeat(now)) {
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
		if (this.callerResponse.isStreamStarted() && this.admitted.route().mayRunAgain()
				&& this.attempts.hasSendsLeft(this.callerResponse.isStreamStarted())) {
			suspend();
			return;
		}
		failRequest("endpoint " + endpointId + " broke off: " + cause);
	}

	// The connection to another daemon failed. An endpoint may have run the request if
	// that daemon had it.
	private void onRelayFailed(SendFailureCause cause, long now) {
		String name = this.send.target().daemon().get().name();
		this.router.relays().onNotTaken(this.send.target().daemon().get(), this.admitted.service(), now);
		if (cause == SendFailureCause.NOT_CONNECTED) {
			redispatch();
			return;
		}
		this.attempts.recordUnknownOutcome();
		this.attempts.recordRun(this.send.target());
		boolean mayRunAgain = this.admitted.route().mayRunAgain()
				&& this.attempts.mayRepeat(this.admitted.route(), this.callerResponse.isStreamStarted());
		if (mayRunAgain && this.router.tryTakeRetry(this.admitted.service(), now)) {
			this.router.log().recordMove(id(), name, cause.name());
			redispatch();
			return;
		}
		endSend(-1);
		if (mayRunAgain && this.callerResponse.isStreamStarted()) {
			suspend();
			return;
		}
		failRequest("daemon " + name + " broke off: " + cause);
	}

	// No endpoint of the service can be reached. Passes the request on if it has not been
	// written to one.
	void onServiceLost(String service) {
		boolean unsent = isAtEndpoint() && connection().isPresent() && !this.send.isWriteStarted();
		if (!this.finished && unsent && this.admitted.service().equals(service)) {
			this.send.connection().get().abort();
			redispatch();
		}
	}

	// Ends the current send because a stage of its path stopped, but only if another
	// endpoint or path can take the request: a silent endpoint may still continue its
	// response.
	void abandonSend(SendFailureCause cause) {
		if (this.finished || connection().isEmpty() || !this.admitted.route().mayRunAgain()) {
			return;
		}
		long now = System.nanoTime();
		boolean maySendAgain = this.attempts.hasSendsLeft(this.callerResponse.isStreamStarted())
				&& this.router.hasRetryLeft(this.admitted.service(), now);
		if (!maySendAgain) {
			return;
		}
		if (isAtEndpoint()) {
			this.attempts.recordRun(this.send.target());
		}
		if (this.router.targets().hasAlternative(this.query, this.send.target(), cause, now)) {
			this.send.connection().get().abort();
			onSendFailed(cause);
		}
	}

	// Ends the current send, if there is one, and suspends the stream, which has started,
	// until a path over all layers has capacity again.
	private void suspend() {
		endSend(-1);
		this.suspension.begin(System.nanoTime());
		this.attempts.readmitAll();
	}

	// Looks for a path again. Takes a retry from the budget only once there is a path.
	private void tryResume(long now) {
		this.suspension.onAttempt(now);
		Optional<Refusal> crashing = this.router.refusals().ofCrashing(this.suspicion.traits(), now);
		if (crashing.isPresent()) {
			refuse(crashing.get());
			return;
		}
		if (!this.router.mayStillSend(this.admitted)) {
			return;
		}
		Optional<SendTarget> next = this.router.targets().choose(this.query, now).target();
		if (next.isPresent() && this.router.tryTakeRetry(this.admitted.service(), now)) {
			this.suspension.end();
			startSend(next.get(), now);
		}
	}

	// Ends a request that is not sent now: refuses it, fails it if it may have run, or
	// suspends it if its stream has started and may go on later. A request of another
	// daemon that has not run here is given back to it.
	private void refuse(Refusal refusal) {
		if (refusal.cause().isOfThisDaemon() && isOfOtherDaemon() && !this.callerResponse.isStreamStarted()
				&& !this.attempts.hasRunHere()) {
			decline(refusal.cause().reason());
		}
		else if (this.callerResponse.isStreamStarted() && refusal.cause().isTemporary()) {
			suspend();
		}
		else if (this.callerResponse.isStreamStarted() || this.attempts.isOutcomeUnknown()) {
			failRequest(refusal.reason());
		}
		else {
			respond(refusal.response(), Outcome.REFUSED, refusal.reason());
		}
	}

	private void failRequest(String reason) {
		if (this.callerResponse.isStreamStarted()) {
			breakOffStream(reason);
			return;
		}
		boolean unknown = this.attempts.isOutcomeUnknown();
		respond(this.router.refusals().ofFailure(unknown), (unknown) ? Outcome.FAILED : Outcome.REFUSED, reason);
	}

	private void breakOffStream(String reason) {
		endSend(-1);
		finish(Outcome.BROKEN_OFF, reason);
		this.caller.abortResponse();
	}

	/** Ends the request, since the process exits. */
	void endAtExit() {
		abortSend();
		failRequest("the process exits");
	}

	private void abortSend() {
		connection().ifPresent((open) -> {
			if (this.send.isWriteStarted()) {
				this.attempts.recordUnknownOutcome();
			}
			open.abort();
		});
		endSend(-1);
	}

	private void timeOut(String reason) {
		abortSend();
		if (this.callerResponse.isStreamStarted()) {
			breakOffStream(reason);
			return;
		}
		respond(OwnResponses.create(HttpResponseStatus.GATEWAY_TIMEOUT, "no response in time", -1), Outcome.TIMED_OUT,
				reason);
	}

	private void respond(DefaultFullHttpResponse response, Outcome outcome, String reason) {
		finish(outcome, reason);
		this.callerResponse.sendOwn(response);
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
		connection().ifPresent(EndpointConnection::abort);
		finish(Outcome.CALLER_LEFT, "connection closed");
	}

	// Checks the deadline, resumes a suspended stream, and acts on silent endpoints.
	// Called periodically.
	void checkTimeouts(long nowNanos) {
		if (this.finished || (!isSending() && !this.suspension.isActive())) {
			return;
		}
		if (this.deadline.isPast(nowNanos)) {
			timeOut("deadline");
			return;
		}
		if (this.suspension.isActive()) {
			if (this.suspension.isAttemptDue(nowNanos)) {
				tryResume(nowNanos);
			}
			return;
		}
		long silenceMs = this.activity.silenceMs(nowNanos);
		if (isAtDaemon()) {
			act(SilenceAction.ofDaemon(silenceMs), nowNanos);
			return;
		}
		this.router.checkProgress(this.admitted.service(), silenceMs, !this.send.isWriteStarted(), nowNanos);
		if (this.finished || !isAtEndpoint()) {
			return;
		}
		act(SilenceAction.ofEndpoint(this.send, this.admitted.route(), this.attempts.runCount(),
				this.callerResponse.isStreamStarted(), silenceMs), nowNanos);
	}

	private void act(SilenceAction action, long nowNanos) {
		if (action == SilenceAction.ABANDON) {
			abandonSend(SendFailureCause.SILENT);
		}
		else if (action == SilenceAction.PROBE && !this.activity.isProbedRecently(nowNanos)
				&& this.caller.isWritable()) {
			probeSilentStream(nowNanos);
		}
	}

	// Probes the first endpoint of a stream that made no progress for too long.
	private void probeSilentStream(long nowNanos) {
		this.activity.onProbeStarted(nowNanos);
		Optional<EndpointConnection> probed = connection();
		this.router.probes().probeSilentStream(this, this.send.endpoint(), (result) -> {
			this.activity.onProbeEnded();
			if (!this.finished && probed.equals(connection())) {
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
