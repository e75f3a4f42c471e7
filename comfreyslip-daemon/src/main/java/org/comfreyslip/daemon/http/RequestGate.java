package org.comfreyslip.daemon.http;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.jooby.Context;
import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.DrainController;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.daemon.journal.RequestEntry;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.admission.AdmissionDecision;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.settings.DependencyNode;

/**
 * The checks that each caller's request passes before it is routed: configuration,
 * credential, dependencies, shutdown state and admission.
 */
final class RequestGate {

	private static final String BEARER = "Bearer ";

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Timeout of requests without a header that sets it. */
	private static final long DEFAULT_TIMEOUT_MILLIS = 600_000;

	private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ConfigHolder configHolder;

	private final DrainController drain;

	private final Admission admission;

	private final RoutingTables tables;

	private final RequestJournal journal;

	private final RequestMetrics metrics;

	private final LongSupplier clock;

	RequestGate(ConfigHolder configHolder, DrainController drain, Admission admission, RoutingTables tables,
			RequestJournal journal, RequestMetrics metrics, LongSupplier clock) {
		this.configHolder = configHolder;
		this.drain = drain;
		this.admission = admission;
		this.tables = tables;
		this.journal = journal;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Authenticates a caller.
	 * @param context the HTTP request
	 * @param boundary records whether the request may have run; closed on an error
	 * @return the caller and the configuration that holds for the whole request
	 * @throws CodedException if no configuration is in force or no account has the
	 * credential
	 */
	Caller authenticate(Context context, CallBoundary boundary) {
		ConfigInForce config = this.configHolder.current()
			.orElseThrow(() -> boundary.closeAsNotRun(ErrorCode.NOT_READY, "no configuration is in force yet",
					RETRY_AFTER_MILLIS));
		String header = context.header("Authorization").value("");
		Optional<AccountSpec> account = header.startsWith(BEARER)
				? config.findAccount(header.substring(BEARER.length()).trim()) : Optional.empty();
		return new Caller(account.orElseThrow(
				() -> boundary.closeAsNotRun(ErrorCode.UNAUTHENTICATED, "the request carries no valid credential", -1)),
				config);
	}

	/**
	 * Admits a request and opens its journal entry.
	 * @param context the HTTP request
	 * @param caller the authenticated caller
	 * @param target the model or service node that is called
	 * @param label the target as shown in the request's journal entry
	 * @param boundary records whether the request may have run; closed on an error
	 * @return the admitted request, to be closed
	 * @throws CodedException if the request is refused
	 */
	OpenRequest admit(Context context, Caller caller, DependencyNode target, String label, CallBoundary boundary) {
		long nowNanos = this.clock.getAsLong();
		long deadlineNanos = nowNanos + timeoutMillis(context, boundary) * NANOS_PER_MILLI;
		requireDependencies(caller.config(), target, boundary, nowNanos);
		if (!this.drain.tryBeginRequest()) {
			throw boundary.closeAsNotRun(ErrorCode.DRAINING, "the daemon is shutting down", 0);
		}
		AdmissionDecision.Admitted admitted;
		try {
			admitted = this.admission.admit(caller.account(), deadlineNanos, boundary, nowNanos);
		}
		catch (CodedException ex) {
			this.drain.endRequest();
			throw ex;
		}
		String id = UUID.randomUUID().toString();
		RequestEntry entry = this.journal.openEntry(id, caller.account().name(), label,
				caller.config().snapshot().version().number(), System.currentTimeMillis());
		Consumer<OutcomeClass> onClose = (outcome) -> {
			this.metrics.countEnded(caller.account().name(), outcome);
			this.admission.release(admitted);
			this.drain.endRequest();
		};
		context.setResponseHeader("X-Request-Id", id);
		return new OpenRequest(id, caller.account(), caller.config(), deadlineNanos, boundary, entry,
				new AtomicBoolean(), onClose);
	}

	/**
	 * Sends the error of a request that was not admitted, and counts it.
	 * @param context the HTTP request
	 * @param error the error
	 */
	void refuse(Context context, CodedException error) {
		this.metrics.countRefused();
		Responses.sendError(context, error, null);
	}

	/**
	 * Wraps a sink so that the times of its tokens are recorded.
	 * @param sink receives the tokens
	 * @return the sink to use instead
	 */
	AnswerSink withTokenTiming(AnswerSink sink) {
		return new TokenTimingSink(sink, this.metrics, this.clock);
	}

	private void requireDependencies(ConfigInForce config, DependencyNode target, CallBoundary boundary,
			long nowNanos) {
		Set<DependencyNode> required = config.dependencies().dependenciesOf(target);
		List<String> services = required.stream().map(DependencyNode::name).toList();
		Set<String> down = this.tables.findDownServices(services, nowNanos);
		if (down.isEmpty()) {
			return;
		}
		List<String> causes = config.dependencies().rootCauses(target, down);
		throw boundary.closeAsNotRun(ErrorCode.DEPENDENCY_DOWN,
				target.name() + " depends on " + String.join(", ", causes) + ", which accepts no requests",
				RETRY_AFTER_MILLIS);
	}

	private static long timeoutMillis(Context context, CallBoundary boundary) {
		String text = context.header("Request-Timeout-Ms").value(Long.toString(DEFAULT_TIMEOUT_MILLIS));
		try {
			long millis = Long.parseLong(text);
			if (millis > 0 && millis <= MAX_TIMEOUT_MILLIS) {
				return millis;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with values out of range.
		}
		throw boundary.closeAsNotRun(ErrorCode.BAD_REQUEST,
				"Request-Timeout-Ms is '" + text + "'; allowed is 1 to " + MAX_TIMEOUT_MILLIS, -1);
	}

	/**
	 * An authenticated caller.
	 *
	 * @param account the client account
	 * @param config the configuration in force when the request arrived
	 */
	record Caller(AccountSpec account, ConfigInForce config) {
	}

}
