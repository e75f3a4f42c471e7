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
 * What every caller's request passes: configuration, credential, shutdown state and
 * admission.
 */
final class RequestGate {

	private static final String BEARER = "Bearer ";

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long DEFAULT_TIMEOUT_MILLIS = 600_000;

	private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ConfigHolder holder;

	private final DrainController drain;

	private final Admission admission;

	private final RoutingTables tables;

	private final RequestJournal journal;

	private final RequestMetrics metrics;

	private final LongSupplier clock;

	RequestGate(ConfigHolder holder, DrainController drain, Admission admission, RoutingTables tables,
			RequestJournal journal, RequestMetrics metrics, LongSupplier clock) {
		this.holder = holder;
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
	 * @param boundary the request's boundary
	 * @return the caller with the configuration in force
	 * @throws CodedException if there is no configuration or no such account
	 */
	Caller authenticate(Context context, CallBoundary boundary) {
		ConfigInForce config = this.holder.current()
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
	 * Admits a request.
	 * @param context the HTTP request
	 * @param caller the authenticated caller
	 * @param target the model or service node that is called
	 * @param label the target for the request's record
	 * @param boundary the request's boundary
	 * @return the admitted request, to be closed
	 * @throws CodedException if the request is refused
	 */
	OpenRequest admit(Context context, Caller caller, DependencyNode target, String label, CallBoundary boundary) {
		long now = this.clock.getAsLong();
		long deadline = now + timeoutMillis(context, boundary) * NANOS_PER_MILLI;
		requireDependencies(caller.config(), target, boundary, now);
		if (!this.drain.tryBegin()) {
			throw boundary.closeAsNotRun(ErrorCode.DRAINING, "the daemon is shutting down", 0);
		}
		AdmissionDecision.Admitted admitted;
		try {
			admitted = this.admission.admit(caller.account(), deadline, boundary, now);
		}
		catch (CodedException ex) {
			this.drain.end();
			throw ex;
		}
		String id = UUID.randomUUID().toString();
		RequestEntry entry = this.journal.open(id, caller.account().name(), label,
				caller.config().snapshot().version().number(), System.currentTimeMillis());
		Consumer<OutcomeClass> onClose = (outcome) -> {
			this.metrics.ended(caller.account().name(), outcome);
			this.admission.finish(admitted);
			this.drain.end();
		};
		context.setResponseHeader("X-Request-Id", id);
		return new OpenRequest(id, caller.account(), caller.config(), deadline, boundary, entry, new AtomicBoolean(),
				onClose);
	}

	/**
	 * Sends the error of a request that was not admitted, and counts it.
	 * @param context the HTTP request
	 * @param error the error
	 */
	void refuse(Context context, CodedException error) {
		this.metrics.refused();
		Replies.error(context, error, null);
	}

	/**
	 * Adds the measurement of token times to a sink.
	 * @param sink the sink
	 * @return the measured sink
	 */
	AnswerSink timed(AnswerSink sink) {
		return new TimedAnswerSink(sink, this.metrics, this.clock);
	}

	private void requireDependencies(ConfigInForce config, DependencyNode target, CallBoundary boundary, long now) {
		Set<DependencyNode> needed = config.dependencies().dependenciesOf(target);
		List<String> services = needed.stream().map(DependencyNode::name).toList();
		Set<String> down = this.tables.findDownServices(services, now);
		if (down.isEmpty()) {
			return;
		}
		List<String> causes = config.dependencies().rootCauses(target, down);
		throw boundary.closeAsNotRun(ErrorCode.DEPENDENCY_DOWN,
				target.name() + " depends on " + String.join(", ", causes) + ", which takes no work",
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
	 * @param config the configuration in force
	 */
	record Caller(AccountSpec account, ConfigInForce config) {
	}

}
