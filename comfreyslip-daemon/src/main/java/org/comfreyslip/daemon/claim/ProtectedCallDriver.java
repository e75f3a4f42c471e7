package org.comfreyslip.daemon.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.service.ServiceCall;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimAction;
import org.comfreyslip.coordination.claim.ClaimEvent;
import org.comfreyslip.coordination.claim.ClaimPartition;
import org.comfreyslip.coordination.claim.ClaimRecord;
import org.comfreyslip.coordination.claim.ClaimResult;
import org.comfreyslip.coordination.claim.ClaimView;
import org.comfreyslip.coordination.claim.ProtectedCall;
import org.comfreyslip.coordination.claim.ProtectedRequest;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.Failures;
import org.comfreyslip.daemon.journal.RequestEntry;
import org.comfreyslip.daemon.route.SelectedEndpoint;
import org.comfreyslip.routing.endpoint.EndpointFailure;
import org.comfreyslip.routing.topology.ServiceSpec;

/**
 * Drives the {@link ProtectedCall} of one request. Its lock is the request's lock.
 */
final class ProtectedCallDriver implements ClaimAttempt {

	private static final int MAX_CONNECT_ATTEMPTS = 3;

	private final ProtectedRequest request;

	private final ProtectedCall call;

	private final ServiceSpec service;

	private final ServiceCall message;

	private final ClaimContext context;

	private final RequestEntry entry;

	private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();

	private final Deque<ClaimAction> actions = new ArrayDeque<>();

	private final Set<String> unreachable = new HashSet<>();

	private final int partition;

	private boolean performing;

	private ScheduledFuture<?> deadline;

	ProtectedCallDriver(ProtectedRequest request, ServiceSpec service, ServiceCall message, ClaimContext context,
			RequestEntry entry) {
		this.request = request;
		this.call = new ProtectedCall(request, context.policy());
		this.service = service;
		this.message = message;
		this.context = context;
		this.entry = entry;
		this.partition = ClaimPartition.of(request.key());
	}

	CompletableFuture<ClaimResult> start(long deadlineNanos) {
		this.context.log().register(this.request.nonce(), this);
		synchronized (this) {
			on(new ClaimEvent.RequestReceived(view()));
			if (!this.result.isDone()) {
				this.deadline = this.context.timer()
					.schedule(this::onDeadline, Math.max(0, deadlineNanos - now()), TimeUnit.NANOSECONDS);
			}
		}
		return this.result;
	}

	@Override
	public int partition() {
		return this.partition;
	}

	@Override
	public synchronized void onRecordsRead() {
		on(new ClaimEvent.RecordsRead(view()));
	}

	@Override
	public synchronized void onAppendRefused() {
		on(new ClaimEvent.AppendRefused());
	}

	@Override
	public void onShutdown() {
		onDeadline();
	}

	private synchronized void onDeadline() {
		on(new ClaimEvent.DeadlinePassed());
	}

	private synchronized void onServiceEvent(ClaimEvent event) {
		on(event);
	}

	private void on(ClaimEvent event) {
		try {
			this.actions.addAll(this.call.onEvent(event, now(), epochMillis()));
			perform();
		}
		catch (CodedException ex) {
			this.context.metrics().invariantViolated();
			DaemonEvent.INVARIANT_VIOLATED.log(this.entry.id(), ex.getMessage());
			this.actions.clear();
			this.result.completeExceptionally(ex);
			end();
		}
	}

	private void perform() {
		if (this.performing) {
			return;
		}
		this.performing = true;
		try {
			while (!this.actions.isEmpty()) {
				perform(this.actions.remove());
			}
		}
		finally {
			this.performing = false;
		}
	}

	private void perform(ClaimAction action) {
		if (action instanceof ClaimAction.AppendRecord append) {
			append(append.record());
		}
		else if (action instanceof ClaimAction.SendCall send) {
			this.entry.note("claim won at nonce " + send.nonce());
			send(send);
		}
		else if (action instanceof ClaimAction.LookUp) {
			this.entry.note("looking the key up at the service");
			lookUp();
		}
		else if (action instanceof ClaimAction.AwaitOutcome await) {
			this.entry.note("waiting for the outcome of another attempt");
			this.context.timer()
				.schedule(() -> onServiceEvent(new ClaimEvent.OutcomeWaitEnded()), await.millis(),
						TimeUnit.MILLISECONDS);
		}
		else if (action instanceof ClaimAction.Respond answer) {
			answer(answer.result());
		}
	}

	private void append(ClaimRecord item) {
		boolean taken = this.context.log().offer(item);
		if (!taken && item instanceof ClaimRecord.Claim) {
			on(new ClaimEvent.AppendRefused());
		}
	}

	private void send(ClaimAction.SendCall send) {
		Optional<SelectedEndpoint> selected = this.context.tables()
			.select(this.service.name(), this.unreachable, false, now());
		if (selected.isEmpty()) {
			on(new ClaimEvent.CallFailed(false, ErrorCode.NO_ENDPOINT,
					"no endpoint of service " + this.service.name() + " takes work"));
			return;
		}
		SelectedEndpoint endpoint = selected.get();
		this.entry.note("sent to " + endpoint.endpoint().name());
		long sentAt = now();
		this.context.calls()
			.send(endpoint.endpoint(), this.request.key(), this.message, send.sendByEpochMillis(),
					() -> this.call.tryStartSending(now()))
			.whenComplete((response, ex) -> onCallEnd(send, endpoint, sentAt, response, ex));
	}

	private void onCallEnd(ClaimAction.SendCall send, SelectedEndpoint endpoint, long sentAt, RecordedResponse response,
			Throwable ex) {
		if (ex == null) {
			this.context.tables().recordSuccess(endpoint.call(), now(), now() - sentAt);
			boolean refused = this.service.refusalStatuses().contains(response.status());
			onServiceEvent((refused) ? new ClaimEvent.CallRefused(response.status())
					: new ClaimEvent.ResponseReceived(response));
			return;
		}
		Throwable cause = Failures.unwrap(ex);
		boolean sent = !(cause instanceof CallFailedException failed) || failed.mayHaveBeenSent();
		this.context.tables()
			.recordFailure(endpoint.call(), sent ? EndpointFailure.TIMEOUT : EndpointFailure.REFUSED, now());
		onCallFailed(send, endpoint, sent, cause);
	}

	private synchronized void onCallFailed(ClaimAction.SendCall send, SelectedEndpoint endpoint, boolean sent,
			Throwable cause) {
		this.unreachable.add(endpoint.endpoint().name());
		boolean connectFailed = !sent && !this.call.isSendPermissionRequested();
		if (connectFailed && this.unreachable.size() < MAX_CONNECT_ATTEMPTS) {
			send(send);
			return;
		}
		on(new ClaimEvent.CallFailed(sent, ErrorCode.ENDPOINT_FAILED, String.valueOf(cause.getMessage())));
	}

	private void lookUp() {
		new KeyLookup(this.context).find(this.service, this.request.key()).whenComplete((found, ex) -> {
			if (ex == null) {
				onServiceEvent(
						found.<ClaimEvent>map(ClaimEvent.LookupFound::new).orElseGet(ClaimEvent.LookupNotFound::new));
			}
			else {
				onServiceEvent(new ClaimEvent.LookupFailed());
			}
		});
	}

	private void answer(ClaimResult answer) {
		if (answer instanceof ClaimResult.Unknown) {
			DaemonEvent.OUTCOME_UNKNOWN.log(this.entry.id(), this.request.key().key());
			this.context.metrics().unknown();
		}
		this.result.complete(answer);
		end();
	}

	private void end() {
		if (this.deadline != null) {
			this.deadline.cancel(false);
		}
		this.context.log().unregister(this.request.nonce());
	}

	private ClaimView view() {
		return this.context.log().view(this.request.key(), this.request.nonce());
	}

	private long now() {
		return this.context.clock().getAsLong();
	}

	private long epochMillis() {
		return this.context.epochClock().getAsLong();
	}

}
