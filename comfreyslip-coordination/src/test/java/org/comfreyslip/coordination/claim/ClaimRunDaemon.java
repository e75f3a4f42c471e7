package org.comfreyslip.coordination.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.comfreyslip.coordination.ErrorCode;

/**
 * One incarnation of a daemon: drives the state machines and carries out their actions
 * with the faults that the run draws.
 */
final class ClaimRunDaemon {

	private static final long NANOS_PER_MILLI = 1_000_000;

	final String name;

	final Map<String, ProtectedCall> calls = new LinkedHashMap<>();

	long pausedUntil;

	boolean crashed;

	private final ClaimRun run;

	private final Map<String, ProtectedRequest> requests = new LinkedHashMap<>();

	private final Map<String, ClaimResult> results = new LinkedHashMap<>();

	private final List<ClaimFold> folds = new ArrayList<>();

	private final ClaimBatcher batcher;

	private final long skewMillis;

	private final long monotonicBase;

	ClaimRunDaemon(ClaimRun run, String name) {
		this.run = run;
		this.name = name;
		this.batcher = new ClaimBatcher(name, 3);
		long halfMargin = ClaimRun.POLICY.clockMarginMillis() / 2;
		this.skewMillis = run.random.nextLong(-halfMargin, halfMargin + 1);
		this.monotonicBase = run.random.nextLong();
		for (int i = 0; i < ClaimPartition.COUNT; i++) {
			this.folds.add(new ClaimFold(ClaimRun.POLICY, 1000));
		}
	}

	private long nanos() {
		return this.monotonicBase + this.run.now * NANOS_PER_MILLI;
	}

	private long epoch() {
		return this.run.now + this.skewMillis;
	}

	void start(ClaimKey key, String nonce) {
		long patience = this.run.random.nextLong(100, 3000);
		boolean canLookUp = !key.service().equals("plain");
		ProtectedRequest request = new ProtectedRequest(key, nonce, this.name, "request",
				nanos() + patience * NANOS_PER_MILLI, epoch() + patience, "/v1/outcomes", canLookUp,
				key.service().equals("enforcing"));
		this.requests.put(nonce, request);
		this.calls.put(nonce, new ProtectedCall(request, ClaimRun.POLICY));
		this.run.after(this.run.random.nextLong(500, 4000), this, () -> on(nonce, new ClaimEvent.DeadlinePassed()));
		on(nonce, new ClaimEvent.Started(view(request)));
	}

	private ClaimView view(ProtectedRequest request) {
		return this.folds.get(ClaimPartition.of(request.key())).view(request.key(), request.nonce());
	}

	private void on(String nonce, ClaimEvent event) {
		if (!this.requests.containsKey(nonce)) {
			return;
		}
		for (ClaimAction action : this.calls.get(nonce).on(event, nanos(), epoch())) {
			execute(this.requests.get(nonce), action);
		}
	}

	private void execute(ProtectedRequest request, ClaimAction action) {
		if (action instanceof ClaimAction.AppendRecord append) {
			append(request, append.item());
		}
		else if (action instanceof ClaimAction.SendCall) {
			this.run.after(this.run.delay(), this, () -> send(request));
		}
		else if (action instanceof ClaimAction.LookUp) {
			this.run.after(this.run.delay(), this, () -> lookUp(request));
		}
		else if (action instanceof ClaimAction.AwaitOutcome await) {
			this.run.count("outcome awaited");
			this.run.after(await.millis(), this, () -> on(request.nonce(), new ClaimEvent.OutcomeWaitEnded()));
		}
		else if (action instanceof ClaimAction.Answer answer) {
			this.results.put(request.nonce(), answer.result());
			this.run.service.answered(request, answer.result());
			this.run.count("answer " + describe(answer.result()));
		}
	}

	private static String describe(ClaimResult result) {
		if (result instanceof ClaimResult.NotRun notRun) {
			return "not run " + notRun.error().code();
		}
		return result.getClass().getSimpleName();
	}

	private void append(ProtectedRequest request, ClaimRecord item) {
		this.run.count("record " + item.getClass().getSimpleName());
		boolean taken = this.batcher.offer(item, nanos());
		if (!taken) {
			this.run.count("queue full");
		}
		if (!taken && item instanceof ClaimRecord.Claim) {
			on(request.nonce(), new ClaimEvent.AppendRefused());
		}
	}

	private void send(ProtectedRequest request) {
		if (this.run.happens("connection refused", 0.1) || !tryStart(request)) {
			on(request.nonce(), new ClaimEvent.CallFailed(false, ErrorCode.NO_ENDPOINT, "not started"));
			return;
		}
		if (this.run.happens("call lost", 0.1)) {
			fail(request);
			return;
		}
		// The call is on its way and arrives even if the daemon crashes.
		this.run.after(this.run.delay(), null, () -> arrive(request));
	}

	private boolean tryStart(ProtectedRequest request) {
		boolean started = this.calls.get(request.nonce()).tryStart(nanos());
		if (!started) {
			boolean late = nanos() - request.sendByNanos() >= 0;
			this.run.count(late ? "first byte refused after send-by" : "first byte refused after not run");
		}
		return started;
	}

	private void arrive(ProtectedRequest request) {
		if (this.run.happens("refused by service", 0.1)) {
			refuse(request);
			return;
		}
		Optional<RecordedResponse> response = this.run.service.execute(request, this.run.now);
		if (response.isEmpty()) {
			this.run.count("refused by service after send-by");
		}
		if (response.isEmpty() || this.run.happens("response lost", 0.15)) {
			fail(request);
			return;
		}
		this.run.after(this.run.delay(), this, () -> on(request.nonce(), new ClaimEvent.CallAnswered(response.get())));
	}

	private void refuse(ProtectedRequest request) {
		if (this.run.happens("refusal lost", 0.15)) {
			fail(request);
			return;
		}
		this.run.after(this.run.delay(), this, () -> on(request.nonce(), new ClaimEvent.CallRefused(503)));
	}

	private void fail(ProtectedRequest request) {
		this.run.after(this.run.delay(), this, () -> on(request.nonce(),
				new ClaimEvent.CallFailed(true, ErrorCode.ENDPOINT_FAILED, "connection reset")));
	}

	private void lookUp(ProtectedRequest request) {
		ClaimEvent event = this.run.service.lookUp(request.key())
			.<ClaimEvent>map(ClaimEvent.LookupFound::new)
			.orElseGet(ClaimEvent.LookupNotFound::new);
		ClaimEvent seen = this.run.happens("look-up failed", 0.1) ? new ClaimEvent.LookupFailed() : event;
		this.run.after(this.run.delay(), this, () -> on(request.nonce(), seen));
	}

	void tick() {
		this.batcher.startAppends(nanos()).forEach(this::append);
		for (int i = 0; i < ClaimPartition.COUNT; i++) {
			if (!this.run.logDown() && this.run.random.nextInt(3) > 0) {
				read(i);
			}
		}
	}

	private void append(ClaimAppend append) {
		ClaimRunLog log = this.run.logs.get(append.partition());
		ClaimBatch batch = append.batch();
		if (append.repeated()) {
			this.run.count("append repeated");
		}
		if (this.run.logDown() || this.run.happens("append refused", 0.05)) {
			this.run.after(this.run.delay(), this, () -> refused(append));
			return;
		}
		boolean unknown = this.run.happens("append without response", 0.25);
		boolean lost = unknown && this.run.happens("append lost", 0.3);
		boolean late = unknown && !lost && this.run.happens("append takes effect late", 0.4);
		if (!lost) {
			this.run.after(late ? this.run.random.nextLong(200, 20_000) : 0, null,
					() -> log.append(batch, this.run.now));
		}
		long delay = this.run.delay();
		if (unknown) {
			this.run.after(delay, this, () -> this.batcher.onUnknown(append.partition(), batch.sequence(), nanos()));
			return;
		}
		this.run.after(delay, this, () -> this.batcher.onAppended(append.partition(), batch.sequence()));
	}

	private void refused(ClaimAppend append) {
		this.batcher.onRefused(append.partition(), append.batch().sequence(), nanos())
			.forEach((claim) -> on(claim.nonce(), new ClaimEvent.AppendRefused()));
	}

	private void read(int partition) {
		ClaimRunLog log = this.run.logs.get(partition);
		ClaimFold fold = this.folds.get(partition);
		if (log.head() > fold.nextOffset() && fold.nextOffset() > 0) {
			this.run.count("trimmed before it was read");
		}
		fold.observe(log.head(), log.tail(), epoch());
		long end = Math.min(log.tail(), fold.nextOffset() + this.run.random.nextInt(1, 4));
		for (long offset = fold.nextOffset(); offset < end; offset++) {
			fold.apply(offset, log.get(offset));
			this.batcher.onRead(partition, log.get(offset));
		}
		List.copyOf(this.requests.values())
			.stream()
			.filter((request) -> ClaimPartition.of(request.key()) == partition)
			.forEach((request) -> on(request.nonce(), new ClaimEvent.RecordsRead(view(request))));
		forgetOldCalls();
	}

	// A daemon keeps a call until it is answered; late events need it a little longer.
	private void forgetOldCalls() {
		if (this.requests.size() > 200) {
			String oldest = this.requests.keySet().iterator().next();
			if (this.results.containsKey(oldest)) {
				this.requests.remove(oldest);
			}
		}
	}

	Set<String> unanswered() {
		Set<String> nonces = new TreeSet<>(this.calls.keySet());
		nonces.removeAll(this.results.keySet());
		return nonces;
	}

}
