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
 * Drives the {@link ProtectedCall} of one request: passes events to this state machine
 * and performs the actions that it returns. The lock of this object guards the state
 * machine and all other state of the request.
 */
final class ProtectedCallDriver implements ClaimAttempt {

	private static final int MAX_CONNECT_ATTEMPTS = 3;

	private final ProtectedRequest request;

	private final ProtectedCall protectedCall;

	private final ServiceSpec service;

	private final ServiceCall serviceCall;

	private final ClaimContext context;

	private final RequestEntry entry;

	private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();

	private final Deque<ClaimAction> actions = new ArrayDeque<>();

	private final Set<String> failedEndpoints = new HashSet<>();

	private final int partition;

	private boolean performingActions;

	private ScheduledFuture<?> deadlineTask;

	ProtectedCallDriver(ProtectedRequest request, ServiceSpec service, ServiceCall serviceCall, ClaimContext context,
			RequestEntry entry) {
		this.request = request;
		this.protectedCall = new ProtectedCall(request, context.policy());
		this.service = service;
		this.serviceCall = serviceCall;
		this.context = context;
		this.entry = entry;
		this.partition = ClaimPartition.of(request.key());
	}

	CompletableFuture<ClaimResult> start(long deadlineNanos) {
		this.context.claimLog().register(this.request.nonce(), this);
		synchronized (this) {
			handleEvent(new ClaimEvent.RequestReceived(view()));
			if (!this.result.isDone()) {
				this.deadlineTask = this.context.timer()
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
		handleEvent(new ClaimEvent.RecordsRead(view()));
	}

	@Override
	public synchronized void onAppendRefused() {
		handleEvent(new ClaimEvent.AppendRefused());
	}

	@Override
	public void onShutdown() {
		onDeadline();
	}

	private synchronized void onDeadline() {
		handleEvent(new ClaimEvent.DeadlinePassed());
	}

	private synchronized void lockAndHandleEvent(ClaimEvent event) {
		handleEvent(event);
	}

	private void handleEvent(ClaimEvent event) {
		try {
			this.actions.addAll(this.protectedCall.onEvent(event, now(), epochMillis()));
			performQueuedActions();
		}
		catch (CodedException ex) {
			this.context.metrics().recordInvariantViolation();
			DaemonEvent.INVARIANT_VIOLATED.log(this.entry.id(), ex.getMessage());
			this.actions.clear();
			this.result.completeExceptionally(ex);
			release();
		}
	}

	private void performQueuedActions() {
		if (this.performingActions) {
			return;
		}
		this.performingActions = true;
		try {
			while (!this.actions.isEmpty()) {
				performAction(this.actions.remove());
			}
		}
		finally {
			this.performingActions = false;
		}
	}

	private void performAction(ClaimAction action) {
		if (action instanceof ClaimAction.AppendRecord append) {
			append(append.record());
		}
		else if (action instanceof ClaimAction.SendCall send) {
			this.entry.addNote("claim won at nonce " + send.nonce());
			send(send);
		}
		else if (action instanceof ClaimAction.LookUp) {
			this.entry.addNote("looking the key up at the service");
			lookUp();
		}
		else if (action instanceof ClaimAction.AwaitOutcome await) {
			this.entry.addNote("waiting for the outcome of another attempt");
			this.context.timer()
				.schedule(() -> lockAndHandleEvent(new ClaimEvent.OutcomeWaitEnded()), await.millis(),
						TimeUnit.MILLISECONDS);
		}
		else if (action instanceof ClaimAction.Respond respond) {
			complete(respond.result());
		}
	}

	private void append(ClaimRecord claimRecord) {
		boolean queued = this.context.claimLog().offer(claimRecord);
		if (!queued && claimRecord instanceof ClaimRecord.Claim) {
			handleEvent(new ClaimEvent.AppendRefused());
		}
	}

	private void send(ClaimAction.SendCall send) {
		Optional<SelectedEndpoint> selected = this.context.tables()
			.select(this.service.name(), this.failedEndpoints, false, now());
		if (selected.isEmpty()) {
			handleEvent(new ClaimEvent.CallFailed(false, ErrorCode.NO_ENDPOINT,
					"no endpoint of service " + this.service.name() + " accepts requests"));
			return;
		}
		SelectedEndpoint endpoint = selected.get();
		this.entry.addNote("sent to " + endpoint.endpoint().name());
		long sentAtNanos = now();
		this.context.serviceCalls()
			.send(endpoint.endpoint(), this.request.key(), this.serviceCall, send.sendByEpochMillis(),
					() -> this.protectedCall.tryStartSending(now()))
			.whenComplete((response, ex) -> onCallEnd(send, endpoint, sentAtNanos, response, ex));
	}

	private void onCallEnd(ClaimAction.SendCall send, SelectedEndpoint endpoint, long sentAtNanos,
			RecordedResponse response, Throwable ex) {
		if (ex == null) {
			this.context.tables().recordSuccess(endpoint.call(), now(), now() - sentAtNanos);
			boolean rejected = this.service.refusalStatuses().contains(response.status());
			lockAndHandleEvent((rejected) ? new ClaimEvent.CallRefused(response.status())
					: new ClaimEvent.ResponseReceived(response));
			return;
		}
		Throwable cause = Failures.unwrap(ex);
		boolean mayHaveBeenSent = !(cause instanceof CallFailedException failed) || failed.mayHaveBeenSent();
		this.context.tables()
			.recordFailure(endpoint.call(), mayHaveBeenSent ? EndpointFailure.TIMEOUT : EndpointFailure.REFUSED, now());
		onCallFailed(send, endpoint, mayHaveBeenSent, cause);
	}

	private synchronized void onCallFailed(ClaimAction.SendCall send, SelectedEndpoint endpoint,
			boolean mayHaveBeenSent, Throwable cause) {
		this.failedEndpoints.add(endpoint.endpoint().name());
		boolean connectFailed = !mayHaveBeenSent && !this.protectedCall.isSendPermissionRequested();
		if (connectFailed && this.failedEndpoints.size() < MAX_CONNECT_ATTEMPTS) {
			send(send);
			return;
		}
		handleEvent(new ClaimEvent.CallFailed(mayHaveBeenSent, ErrorCode.ENDPOINT_FAILED,
				String.valueOf(cause.getMessage())));
	}

	private void lookUp() {
		new KeyLookup(this.context).find(this.service, this.request.key()).whenComplete((found, ex) -> {
			if (ex == null) {
				lockAndHandleEvent(
						found.<ClaimEvent>map(ClaimEvent.LookupFound::new).orElseGet(ClaimEvent.LookupNotFound::new));
			}
			else {
				lockAndHandleEvent(new ClaimEvent.LookupFailed());
			}
		});
	}

	private void complete(ClaimResult claimResult) {
		if (claimResult instanceof ClaimResult.Unknown) {
			DaemonEvent.OUTCOME_UNKNOWN.log(this.entry.id(), this.request.key().key());
			this.context.metrics().recordUnknownOutcome();
		}
		this.result.complete(claimResult);
		release();
	}

	private void release() {
		if (this.deadlineTask != null) {
			this.deadlineTask.cancel(false);
		}
		this.context.claimLog().unregister(this.request.nonce());
	}

	private ClaimView view() {
		return this.context.claimLog().view(this.request.key(), this.request.nonce());
	}

	private long now() {
		return this.context.clock().getAsLong();
	}

	private long epochMillis() {
		return this.context.epochClock().getAsLong();
	}

}
