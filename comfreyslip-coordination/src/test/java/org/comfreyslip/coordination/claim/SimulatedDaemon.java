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
 * One incarnation of a simulated daemon. It passes events to its {@link ProtectedCall}s
 * and carries out their actions, with the faults that the simulation draws.
 */
final class SimulatedDaemon {

	private static final long NANOS_PER_MILLI = 1_000_000;

	final String name;

	final Map<String, ProtectedCall> calls = new LinkedHashMap<>();

	long pausedUntilMillis;

	boolean crashed;

	private final ClaimSimulation simulation;

	private final Map<String, ProtectedRequest> requests = new LinkedHashMap<>();

	private final Map<String, ClaimResult> results = new LinkedHashMap<>();

	private final List<ClaimFold> folds = new ArrayList<>();

	private final ClaimBatcher batcher;

	private final long clockSkewMillis;

	private final long monotonicBaseNanos;

	SimulatedDaemon(ClaimSimulation simulation, String name) {
		this.simulation = simulation;
		this.name = name;
		this.batcher = new ClaimBatcher(name, 3);
		long halfMargin = ClaimSimulation.POLICY.clockMarginMillis() / 2;
		this.clockSkewMillis = simulation.random.nextLong(-halfMargin, halfMargin + 1);
		this.monotonicBaseNanos = simulation.random.nextLong();
		for (int i = 0; i < ClaimPartition.COUNT; i++) {
			this.folds.add(new ClaimFold(ClaimSimulation.POLICY, 1000));
		}
	}

	private long nowNanos() {
		return this.monotonicBaseNanos + this.simulation.nowMillis * NANOS_PER_MILLI;
	}

	private long nowEpochMillis() {
		return this.simulation.nowMillis + this.clockSkewMillis;
	}

	void start(ClaimKey key, String nonce) {
		long timeoutMillis = this.simulation.random.nextLong(100, 3000);
		boolean canLookUp = !key.service().equals("plain");
		ProtectedRequest request = new ProtectedRequest(key, nonce, this.name, "request",
				nowNanos() + timeoutMillis * NANOS_PER_MILLI, nowEpochMillis() + timeoutMillis, "/v1/outcomes",
				canLookUp, key.service().equals("enforcing"));
		this.requests.put(nonce, request);
		this.calls.put(nonce, new ProtectedCall(request, ClaimSimulation.POLICY));
		this.simulation.after(this.simulation.random.nextLong(500, 4000), this,
				() -> onEvent(nonce, new ClaimEvent.DeadlinePassed()));
		onEvent(nonce, new ClaimEvent.RequestReceived(view(request)));
	}

	private ClaimView view(ProtectedRequest request) {
		return this.folds.get(ClaimPartition.of(request.key())).view(request.key(), request.nonce());
	}

	private void onEvent(String nonce, ClaimEvent event) {
		if (!this.requests.containsKey(nonce)) {
			return;
		}
		for (ClaimAction action : this.calls.get(nonce).onEvent(event, nowNanos(), nowEpochMillis())) {
			execute(this.requests.get(nonce), action);
		}
	}

	private void execute(ProtectedRequest request, ClaimAction action) {
		if (action instanceof ClaimAction.AppendRecord append) {
			append(request, append.record());
		}
		else if (action instanceof ClaimAction.SendCall) {
			this.simulation.after(this.simulation.drawDelayMillis(), this, () -> send(request));
		}
		else if (action instanceof ClaimAction.LookUp) {
			this.simulation.after(this.simulation.drawDelayMillis(), this, () -> lookUp(request));
		}
		else if (action instanceof ClaimAction.AwaitOutcome await) {
			this.simulation.count("outcome awaited");
			this.simulation.after(await.millis(), this,
					() -> onEvent(request.nonce(), new ClaimEvent.OutcomeWaitEnded()));
		}
		else if (action instanceof ClaimAction.Respond respond) {
			this.results.put(request.nonce(), respond.result());
			this.simulation.service.onResult(request, respond.result());
			this.simulation.count("result " + describe(respond.result()));
		}
	}

	private static String describe(ClaimResult result) {
		if (result instanceof ClaimResult.NotRun notRun) {
			return "not run " + notRun.error().code();
		}
		return result.getClass().getSimpleName();
	}

	private void append(ProtectedRequest request, ClaimRecord record) {
		this.simulation.count("record " + record.getClass().getSimpleName());
		boolean accepted = this.batcher.offer(record, nowNanos());
		if (!accepted) {
			this.simulation.count("queue full");
		}
		if (!accepted && record instanceof ClaimRecord.Claim) {
			onEvent(request.nonce(), new ClaimEvent.AppendRefused());
		}
	}

	private void send(ProtectedRequest request) {
		if (this.simulation.drawFault("connection refused", 0.1) || !tryStartSending(request)) {
			onEvent(request.nonce(), new ClaimEvent.CallFailed(false, ErrorCode.NO_ENDPOINT, "not started"));
			return;
		}
		if (this.simulation.drawFault("call lost", 0.1)) {
			failAfterFirstByte(request);
			return;
		}
		// The call has been sent and arrives even if the daemon crashes.
		this.simulation.after(this.simulation.drawDelayMillis(), null, () -> onCallArrived(request));
	}

	private boolean tryStartSending(ProtectedRequest request) {
		boolean started = this.calls.get(request.nonce()).tryStartSending(nowNanos());
		if (!started) {
			boolean late = nowNanos() - request.sendByNanos() >= 0;
			this.simulation.count(late ? "first byte refused after send-by" : "first byte refused after not run");
		}
		return started;
	}

	private void onCallArrived(ProtectedRequest request) {
		if (this.simulation.drawFault("refused by service", 0.1)) {
			sendRefusal(request);
			return;
		}
		Optional<RecordedResponse> response = this.simulation.service.execute(request, this.simulation.nowMillis);
		if (response.isEmpty()) {
			this.simulation.count("refused by service after send-by");
		}
		if (response.isEmpty() || this.simulation.drawFault("response lost", 0.15)) {
			failAfterFirstByte(request);
			return;
		}
		this.simulation.after(this.simulation.drawDelayMillis(), this,
				() -> onEvent(request.nonce(), new ClaimEvent.ResponseReceived(response.get())));
	}

	private void sendRefusal(ProtectedRequest request) {
		if (this.simulation.drawFault("refusal lost", 0.15)) {
			failAfterFirstByte(request);
			return;
		}
		this.simulation.after(this.simulation.drawDelayMillis(), this,
				() -> onEvent(request.nonce(), new ClaimEvent.CallRefused(503)));
	}

	private void failAfterFirstByte(ProtectedRequest request) {
		this.simulation.after(this.simulation.drawDelayMillis(), this, () -> onEvent(request.nonce(),
				new ClaimEvent.CallFailed(true, ErrorCode.ENDPOINT_FAILED, "connection reset")));
	}

	private void lookUp(ProtectedRequest request) {
		ClaimEvent event = this.simulation.service.lookUp(request.key())
			.<ClaimEvent>map(ClaimEvent.LookupFound::new)
			.orElseGet(ClaimEvent.LookupNotFound::new);
		ClaimEvent seen = this.simulation.drawFault("look-up failed", 0.1) ? new ClaimEvent.LookupFailed() : event;
		this.simulation.after(this.simulation.drawDelayMillis(), this, () -> onEvent(request.nonce(), seen));
	}

	void tick() {
		this.batcher.startAppends(nowNanos()).forEach(this::append);
		for (int i = 0; i < ClaimPartition.COUNT; i++) {
			if (!this.simulation.isLogDown() && this.simulation.random.nextInt(3) > 0) {
				read(i);
			}
		}
	}

	private void append(ClaimAppend append) {
		SimulatedClaimLog log = this.simulation.logs.get(append.partition());
		ClaimBatch batch = append.batch();
		if (append.repeated()) {
			this.simulation.count("append repeated");
		}
		if (this.simulation.isLogDown() || this.simulation.drawFault("append refused", 0.05)) {
			this.simulation.after(this.simulation.drawDelayMillis(), this, () -> onAppendRefused(append));
			return;
		}
		boolean unknown = this.simulation.drawFault("append without response", 0.25);
		boolean lost = unknown && this.simulation.drawFault("append lost", 0.3);
		boolean late = unknown && !lost && this.simulation.drawFault("append takes effect late", 0.4);
		if (!lost) {
			this.simulation.after(late ? this.simulation.random.nextLong(200, 20_000) : 0, null,
					() -> log.append(batch, this.simulation.nowMillis));
		}
		long delay = this.simulation.drawDelayMillis();
		if (unknown) {
			this.simulation.after(delay, this,
					() -> this.batcher.onAppendOutcomeUnknown(append.partition(), batch.sequence(), nowNanos()));
			return;
		}
		this.simulation.after(delay, this, () -> this.batcher.onAppendConfirmed(append.partition(), batch.sequence()));
	}

	private void onAppendRefused(ClaimAppend append) {
		this.batcher.onAppendRefused(append.partition(), append.batch().sequence(), nowNanos())
			.forEach((claim) -> onEvent(claim.nonce(), new ClaimEvent.AppendRefused()));
	}

	private void read(int partition) {
		SimulatedClaimLog log = this.simulation.logs.get(partition);
		ClaimFold fold = this.folds.get(partition);
		if (log.head() > fold.nextOffset() && fold.nextOffset() > 0) {
			this.simulation.count("trimmed before it was read");
		}
		fold.updateLogBounds(log.head(), log.tail(), nowEpochMillis());
		long end = Math.min(log.tail(), fold.nextOffset() + this.simulation.random.nextInt(1, 4));
		for (long offset = fold.nextOffset(); offset < end; offset++) {
			fold.apply(offset, log.get(offset));
			this.batcher.onBatchRead(partition, log.get(offset));
		}
		List.copyOf(this.requests.values())
			.stream()
			.filter((request) -> ClaimPartition.of(request.key()) == partition)
			.forEach((request) -> onEvent(request.nonce(), new ClaimEvent.RecordsRead(view(request))));
		removeOldestCall();
	}

	// A daemon keeps a call until it has a result. Here it is kept longer, so that late
	// events reach it.
	private void removeOldestCall() {
		if (this.requests.size() > 200) {
			String oldest = this.requests.keySet().iterator().next();
			if (this.results.containsKey(oldest)) {
				this.requests.remove(oldest);
			}
		}
	}

	Set<String> callsWithoutResult() {
		Set<String> nonces = new TreeSet<>(this.calls.keySet());
		nonces.removeAll(this.results.keySet());
		return nonces;
	}

}
