package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.Route;
import org.comfreyslip.entry.model.RouteKind;
import org.comfreyslip.entry.model.SocketAddresses;
import org.comfreyslip.entry.stream.EventFramer;

/**
 * One request from its arrival to its final answer: admission, the sends to endpoints,
 * and what follows each of them.
 */
final class Exchange implements ReplyListener {

	/** Largest number of sends of one request, refusals by endpoints included. */
	private static final int MAX_SENDS = 5;

	/**
	 * Largest number of sends of a stream that has begun; its caller has part of the
	 * answer.
	 */
	private static final int MAX_STREAM_SENDS = 12;

	/**
	 * Pause before a stream that has begun looks for a path again, in ms: a few steps of
	 * a placement.
	 */
	private static final long PARK_MS = 100;

	/**
	 * Largest response of a plain service that is kept until it is complete, in bytes.
	 */
	private static final int MAX_REPLY_BYTES = 8 << 20;

	/**
	 * Least time left for which a send makes sense, in ms: one round trip and a short
	 * wait.
	 */
	private static final long MIN_LEFT_MS = 20;

	/** Weight of the newest pause in the mean pause between events. */
	private static final double GAP_WEIGHT = 0.25;

	private final Router router;

	private final CallerConnection caller;

	private final CallerConnection.Incoming incoming;

	private final Wire.RequestFacts facts;

	private final Set<String> tried = new HashSet<>();

	private final List<String> history = new ArrayList<>();

	private Router.Admitted admitted;

	private long deadlineNanos;

	private Endpoint endpoint;

	private EndpointConnection connection;

	private LayerPath path;

	private int reservedTokens;

	private int sends;

	private final Set<String> ran = new HashSet<>();

	private boolean sent;

	private boolean mayHaveRun;

	private long sentNanos;

	private long progressNanos;

	private long inquiredNanos;

	private boolean inquiring;

	private long inquiryGapMs = Router.INQUIRY_GAP_MS;

	private double eventGapMs;

	private HttpResponse replyHead;

	private Wire.ReplyFacts replyFacts;

	private ByteBuf replyBody = Unpooled.EMPTY_BUFFER;

	private boolean relaying;

	private boolean headSent;

	private final EventFramer framer = new EventFramer();

	private boolean done;

	private boolean parked;

	private long parkedNanos;

	Exchange(Router router, CallerConnection caller, CallerConnection.Incoming incoming) {
		this.router = router;
		this.caller = caller;
		this.incoming = incoming;
		this.facts = router.wire().request(incoming.head());
	}

	String id() {
		return this.facts.attemptId();
	}

	Optional<LayerPath> path() {
		return Optional.ofNullable(this.path);
	}

	/** Admits the request and sends it on. */
	void begin() {
		Router.Admission admission = this.router.admit(this.incoming, this.facts);
		if (admission.refusal() != null) {
			answer(admission.refusal(), Outcome.REFUSED, admission.reason());
			return;
		}
		this.admitted = admission.admitted();
		long waitMs = this.admitted.route().timeoutMs();
		if (this.facts.deadlineMs() >= 0) {
			waitMs = Math.min(waitMs, this.facts.deadlineMs());
		}
		this.deadlineNanos = this.incoming.arrivalNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs);
		this.router.onOpened(this, this.admitted);
		dispatch();
	}

	private long leftMs(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - nowNanos);
	}

	private void dispatch() {
		long now = System.nanoTime();
		this.parked = false;
		if (leftMs(now) < MIN_LEFT_MS) {
			giveUp("no time left");
			return;
		}
		if (!this.router.mayForward(this.admitted)) {
			refuse("the key's validity cannot be confirmed now", "stale configuration", Router.STALE_RETRY_MS);
			return;
		}
		Optional<Endpoint> target = chooseTarget(now);
		if (target.isEmpty()) {
			refuse("no endpoint can take the request now", "no endpoint", this.router.capacityRetryMs());
			return;
		}
		send(target.get(), now);
	}

	private Optional<Endpoint> chooseTarget(long now) {
		this.path = null;
		if (this.admitted.engine().isEmpty()) {
			return this.router.choosePlain(this.admitted.service(), this.tried, now);
		}
		int tokens = tokens();
		Optional<LayerPath> found = this.router.findPath(this.admitted, tokens, this::mayBeFirst, now);
		if (found.isEmpty()) {
			return Optional.empty();
		}
		this.path = found.get();
		this.reservedTokens = tokens;
		return Optional.of(this.path.first());
	}

	// Once the route's limit is reached, only endpoints that ran the request before may
	// run it again.
	private boolean mayBeFirst(Endpoint first) {
		return !this.tried.contains(first.id()) && (hasRunsLeft() || this.ran.contains(first.id()));
	}

	// Endpoints that ended since do not count against the route's limit.
	private boolean hasRunsLeft() {
		long counted = this.ran.stream().filter((id) -> !this.router.hasEnded(id)).count();
		return counted < this.admitted.route().maxAttempts();
	}

	// Returns the tokens that the stream will hold at its end.
	private int tokens() {
		int answer = (this.facts.likelyAnswerTokens() > 0) ? this.facts.likelyAnswerTokens()
				: this.admitted.engine().get().meanResponseTokens();
		if (this.facts.maxAnswerTokens() > 0) {
			answer = Math.min(answer, this.facts.maxAnswerTokens());
		}
		int prompt = (this.facts.promptTokens() > 0) ? this.facts.promptTokens()
				: this.admitted.engine().get().meanPromptTokens();
		return prompt + answer;
	}

	private void send(Endpoint target, long now) {
		this.endpoint = target;
		this.sends++;
		this.sent = false;
		this.replyHead = null;
		this.relaying = false;
		this.sentNanos = now;
		this.progressNanos = now;
		HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory()
			.withValidation(false)
			.newHeaders()
			.add(this.incoming.head().headers());
		Optional<Long> resumeAfter = this.framer.lastEventId().or(this.facts::lastEventId);
		this.router.wire()
			.forward(headers, new Wire.Forward(target, this.admitted.account().map((account) -> account.name()),
					Math.max(1, leftMs(now)), Optional.ofNullable(this.path), resumeAfter, this.admitted.priority()));
		ByteBuf body = this.incoming.body().retainedDuplicate();
		if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| this.incoming.head().headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.incoming.head().method(),
				this.incoming.head().uri(), body, headers, EmptyHttpHeaders.INSTANCE);
		if (this.path != null) {
			this.router.loads().reserve(this.path, this.reservedTokens);
			this.router.watch(this.path, now);
		}
		else {
			this.router.plain().recordDispatch(target.id());
		}
		this.history.add(target.id());
		this.connection = this.router.pool().send(target, request, id(), !this.admitted.route().mayRunAgain(), this);
	}

	// Settles the books of the current send.
	private void settle(double tookMs) {
		if (this.endpoint == null) {
			return;
		}
		if (this.path != null) {
			this.router.loads().release(this.path, this.reservedTokens);
		}
		else {
			this.router.plain().recordCompletion(this.endpoint.id(), tookMs);
		}
		this.endpoint = null;
		this.connection = null;
		this.replyBody = Unpooled.EMPTY_BUFFER;
	}

	@Override
	public void onSent() {
		this.sent = true;
	}

	@Override
	public void onHead(HttpResponse head, Wire.ReplyFacts reply) {
		this.replyHead = head;
		this.replyFacts = reply;
		boolean success = head.status().code() / 100 == 2 && reply.signed() && !reply.encoded();
		this.relaying = this.admitted.route().kind() == RouteKind.STREAMING && success;
		if (this.relaying) {
			this.progressNanos = System.nanoTime();
		}
	}

	@Override
	public void onContent(ByteBuf content) {
		if (!this.relaying) {
			collect(content);
			return;
		}
		byte[] bytes = new byte[content.readableBytes()];
		content.readBytes(bytes);
		byte[] events = this.framer.extractNewEvents(bytes);
		if (events.length > 0) {
			onEvents(System.nanoTime());
			relayHead();
			this.caller.streamContent(events);
		}
	}

	private void onEvents(long now) {
		double gapMs = (now - this.progressNanos) / 1e6;
		this.progressNanos = now;
		this.inquiryGapMs = Router.INQUIRY_GAP_MS;
		if (this.headSent) {
			this.eventGapMs += GAP_WEIGHT * (gapMs - this.eventGapMs);
			if (this.eventGapMs > this.router.slowGapMs(this.admitted.route())) {
				this.router.onSlowStream(this.path, now);
			}
		}
	}

	private void collect(ByteBuf content) {
		if (this.replyBody == Unpooled.EMPTY_BUFFER) {
			this.replyBody = Unpooled.buffer(content.readableBytes());
		}
		if (this.replyBody.readableBytes() + content.readableBytes() <= MAX_REPLY_BYTES) {
			this.replyBody.writeBytes(content);
		}
		else {
			this.connection.abort();
			onBroken(BreakCause.GARBLED);
		}
	}

	private void relayHead() {
		if (!this.headSent) {
			this.headSent = true;
			this.router.onFirstEvent(this.incoming.arrivalNanos(), this.progressNanos);
			this.caller.startStream(this.replyHead, relayedHeaders());
		}
	}

	private HttpHeaders relayedHeaders() {
		HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory()
			.withValidation(false)
			.newHeaders()
			.add(this.replyHead.headers());
		this.router.wire().relay(headers);
		return headers;
	}

	@Override
	public void onPause() {
		if (this.relaying && this.headSent && !this.done) {
			this.caller.flush();
			if (!this.caller.isWritable()) {
				this.connection.setReading(false);
			}
		}
	}

	void onCallerWritable(boolean writable) {
		if (this.connection != null && this.relaying) {
			this.connection.setReading(writable);
			this.progressNanos = System.nanoTime();
		}
	}

	@Override
	public void onComplete() {
		if (this.done) {
			return;
		}
		if (this.relaying) {
			onStreamComplete();
		}
		else {
			onReplyComplete();
		}
	}

	private void onStreamComplete() {
		if (this.framer.hasPartialEvent()) {
			onBroken(BreakCause.GARBLED);
			return;
		}
		this.router.faults().recordResponse(this.endpoint.id(), false);
		path()
			.ifPresent((used) -> used.parts().forEach((part) -> this.router.faults().clearFault(part.endpoint().id())));
		relayHead();
		finish(Outcome.SERVED, "stream");
		this.caller.endStream();
	}

	private void onReplyComplete() {
		int status = this.replyHead.status().code();
		long now = System.nanoTime();
		if (this.replyFacts.notExecuted() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			onNotExecuted(status, now);
			return;
		}
		boolean genuine = this.replyFacts.signed() && !this.replyFacts.encoded();
		boolean promise = status == 408 || status == 429 || status == 503;
		if (!genuine || promise) {
			onBroken(BreakCause.GARBLED);
			return;
		}
		boolean failed = status >= 500;
		this.router.faults().recordResponse(this.endpoint.id(), failed);
		if (failed && this.admitted.route().mayRunAgain() && !this.headSent && mayRunOnceMore()) {
			this.mayHaveRun = true;
			next(now, (now - this.sentNanos) / 1e6, "status " + status);
			return;
		}
		if (this.headSent) {
			settle(-1);
			park();
			return;
		}
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, this.replyHead.status(),
				this.replyBody, relayedHeaders(), EmptyHttpHeaders.INSTANCE);
		response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		settle((now - this.sentNanos) / 1e6);
		finish(Outcome.SERVED, "status " + status);
		this.caller.reply(response);
	}

	private void onNotExecuted(int status, long now) {
		String blamed = this.replyFacts.faultAddress().orElse(SocketAddresses.text(this.endpoint.address()));
		boolean other = this.router.onRefusedByEndpoint(this.endpoint, blamed, status, now);
		// A refusal that another endpoint of the path caused leaves the first one usable.
		String refusing = this.endpoint.id();
		if (!other) {
			this.tried.add(refusing);
		}
		if (this.sends < maxSends() && this.router.tryRetry(this.admitted.service(), now)) {
			settle(-1);
			dispatch();
			return;
		}
		settle(-1);
		refuse("the endpoint cannot take the request now", "endpoint refused with " + status,
				this.router.capacityRetryMs());
	}

	private boolean mayRunOnceMore() {
		this.ran.add(this.endpoint.id());
		return (hasRunsLeft() || this.headSent) && this.sends < maxSends()
				&& this.router.tryRetry(this.admitted.service(), System.nanoTime());
	}

	private int maxSends() {
		return (this.headSent) ? MAX_STREAM_SENDS : MAX_SENDS;
	}

	// Ends the current send and dispatches the request to another endpoint.
	private void next(long now, double tookMs, String why) {
		this.router.onMoved(id(), this.endpoint.id(), why);
		this.tried.add(this.endpoint.id());
		settle(tookMs);
		dispatch();
	}

	@Override
	public void onBroken(BreakCause cause) {
		if (this.done) {
			return;
		}
		long now = System.nanoTime();
		String name = this.endpoint.id();
		if (cause == BreakCause.NOT_CONNECTED) {
			this.router.faults().recordFault(name, now);
			if (this.sends < MAX_SENDS) {
				next(now, -1, "no connection");
				return;
			}
			settle(-1);
			fail("no connection to an endpoint");
			return;
		}
		this.router.faults().recordResponse(name, true);
		if (cause != BreakCause.GARBLED) {
			this.router.faults().recordFault(name, now);
		}
		this.mayHaveRun = true;
		this.framer.dropPartialEvent();
		if (this.admitted.route().mayRunAgain() && mayRunOnceMore()) {
			next(now, -1, cause.name());
			return;
		}
		settle(-1);
		if (this.headSent && this.admitted.route().mayRunAgain() && this.sends < maxSends()) {
			park();
			return;
		}
		fail("endpoint " + name + " broke off: " + cause);
	}

	// Ends the send because a part of its path stopped, if it can go on elsewhere.
	// Silence alone is no reason to end
	// an answer, since the endpoint may still go on.
	void abandonSend(BreakCause cause) {
		if (this.done || this.connection == null || !this.admitted.route().mayRunAgain()) {
			return;
		}
		long now = System.nanoTime();
		boolean room = this.sends < maxSends() && this.router.hasRetryLeft(this.admitted.service(), now);
		if (room && hasAlternative(now)) {
			this.connection.abort();
			onBroken(cause);
		}
	}

	private boolean hasAlternative(long now) {
		String current = this.endpoint.id();
		this.ran.add(current);
		if (this.path == null) {
			Set<String> used = new HashSet<>(this.tried);
			used.add(current);
			return hasRunsLeft() && this.router.choosePlain(this.admitted.service(), used, now).isPresent();
		}
		return this.router
			.findPath(this.admitted, this.reservedTokens, (first) -> !first.id().equals(current) && mayBeFirst(first),
					now)
			.isPresent();
	}

	// Keeps a stream that has begun open until a path over all layers has room again.
	private void park() {
		this.parked = true;
		this.parkedNanos = System.nanoTime();
		this.tried.clear();
	}

	// Takes a retry from the budget only once there is a path.
	private void resume(long now) {
		this.parkedNanos = now;
		Optional<Endpoint> target = (this.router.mayForward(this.admitted)) ? chooseTarget(now) : Optional.empty();
		if (target.isPresent() && this.router.tryRetry(this.admitted.service(), now)) {
			this.parked = false;
			send(target.get(), now);
		}
	}

	private void refuse(String message, String why, long retryAfterMs) {
		if (this.headSent) {
			park();
		}
		else if (this.mayHaveRun) {
			fail(why);
		}
		else {
			answer(Replies.own(HttpResponseStatus.SERVICE_UNAVAILABLE, message, retryAfterMs), Outcome.REFUSED, why);
		}
	}

	private void fail(String why) {
		if (this.headSent) {
			breakOff(why);
			return;
		}
		HttpResponseStatus status = (this.mayHaveRun) ? HttpResponseStatus.BAD_GATEWAY
				: HttpResponseStatus.SERVICE_UNAVAILABLE;
		long retryAfterMs = (this.mayHaveRun) ? -1 : this.router.capacityRetryMs();
		answer(Replies.own(status, "the endpoint failed", retryAfterMs),
				(this.mayHaveRun) ? Outcome.FAILED : Outcome.REFUSED, why);
	}

	private void breakOff(String why) {
		settle(-1);
		finish(Outcome.BROKEN_OFF, why);
		this.caller.abort();
	}

	private void giveUp(String why) {
		if (this.connection != null) {
			this.mayHaveRun |= this.sent;
			this.connection.abort();
		}
		settle(-1);
		if (this.headSent) {
			breakOff(why);
			return;
		}
		answer(Replies.own(HttpResponseStatus.GATEWAY_TIMEOUT, "no response in time", -1), Outcome.TIMED_OUT, why);
	}

	private void answer(DefaultFullHttpResponse response, Outcome outcome, String why) {
		finish(outcome, why);
		this.caller.reply(response);
	}

	private void finish(Outcome outcome, String why) {
		if (this.done) {
			return;
		}
		settle(-1);
		this.done = true;
		this.incoming.release(this.router);
		this.router.onClosed(this, outcome, why);
	}

	/** The caller closed its connection: the endpoint's work is cancelled. */
	void onCallerGone() {
		if (this.connection != null) {
			this.connection.abort();
		}
		finish(Outcome.CALLER_LEFT, "connection closed");
	}

	// Watches deadlines and streams without progress.
	void tick(long nowNanos) {
		if (this.done || (this.endpoint == null && !this.parked)) {
			return;
		}
		if (leftMs(nowNanos) <= 0) {
			giveUp("deadline");
			return;
		}
		if (this.parked) {
			boolean due = nowNanos - this.parkedNanos >= TimeUnit.MILLISECONDS.toNanos(PARK_MS);
			if (due) {
				resume(nowNanos);
			}
			return;
		}
		long quietMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.progressNanos);
		Route route = this.admitted.route();
		if (this.path != null) {
			watchStream(nowNanos, quietMs, route);
		}
		else if (route.mayRunAgain() && this.sent && this.replyHead == null
				&& quietMs >= this.router.plainPatienceMs(route) && this.ran.size() + 1 < route.maxAttempts()) {
			abandonSend(BreakCause.SILENT);
		}
	}

	private void watchStream(long nowNanos, long quietMs, Route route) {
		long patience = (this.headSent) ? this.router.gapPatienceMs(route) : this.router.firstPatienceMs(route);
		boolean askedJustNow = this.inquiring
				|| TimeUnit.NANOSECONDS.toMillis(nowNanos - this.inquiredNanos) < this.inquiryGapMs;
		if (!this.sent || quietMs < patience || askedJustNow || !this.caller.isWritable()) {
			return;
		}
		this.inquiring = true;
		if (this.inquiredNanos - this.progressNanos > 0) {
			this.inquiryGapMs = 2 * this.inquiryGapMs;
		}
		this.inquiredNanos = nowNanos;
		EndpointConnection asked = this.connection;
		this.router.inquire(this, this.endpoint, (verdict) -> {
			this.inquiring = false;
			if (!this.done && asked == this.connection && verdict != Router.Verdict.WORKING) {
				abandonSend(BreakCause.SILENT);
			}
		});
	}

	long ageMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.incoming.arrivalNanos());
	}

	String describe() {
		return "ms=" + ageMs() + " sends=" + this.sends + " endpoints=" + this.history;
	}

}
