package org.comfreyslip.entry.http;

import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.fleet.FaultKind;
import org.comfreyslip.entry.fleet.LeastWaitSelector;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.SocketAddresses;

/**
 * Records for the endpoints how they treated requests.
 */
final class EndpointResults {

	private final EndpointDirectory directory;

	private final EndpointFaults faults;

	private final LeastWaitSelector plainSelector;

	private final RequestLog log;

	/**
	 * Creates the records.
	 * @param directory the registered endpoints
	 * @param faults takes the faults and successes
	 * @param plainSelector takes the failures of endpoints of plain services
	 * @param log logs and counts the failures
	 */
	EndpointResults(EndpointDirectory directory, EndpointFaults faults, LeastWaitSelector plainSelector,
			RequestLog log) {
		this.directory = directory;
		this.faults = faults;
		this.plainSelector = plainSelector;
		this.log = log;
	}

	/**
	 * Records that an endpoint sent a complete response that reports no failure.
	 * @param endpoint the endpoint
	 * @param nowNanos the current steady time in ns
	 */
	void onServed(Endpoint endpoint, long nowNanos) {
		this.faults.recordResponse(endpoint.id(), false, nowNanos);
	}

	/**
	 * Records that an endpoint has run a request and sent a complete response.
	 * @param endpoint the endpoint
	 * @param failed whether the response reports a failure
	 * @param nowNanos the current steady time in ns
	 */
	void onAnswered(Endpoint endpoint, boolean failed, long nowNanos) {
		if (failed) {
			onFailed(endpoint, nowNanos);
		}
		else {
			onServed(endpoint, nowNanos);
		}
	}

	/**
	 * Records that a stream was complete.
	 * @param target the target that served it; the endpoints of a daemon are not known
	 * @param nowNanos the current steady time in ns
	 */
	void onStreamServed(SendTarget target, long nowNanos) {
		target.endpoint().ifPresent((endpoint) -> onServed(endpoint, nowNanos));
		target.path()
			.ifPresent((path) -> path.stages()
				.forEach((stage) -> this.faults.recordSuccess(stage.endpoint().id(), nowNanos)));
	}

	/**
	 * Records that an endpoint failed a request.
	 * @param endpoint the endpoint
	 * @param nowNanos the current steady time in ns
	 */
	void onFailed(Endpoint endpoint, long nowNanos) {
		this.faults.recordResponse(endpoint.id(), true, nowNanos);
		recordPlainFailure(endpoint, nowNanos);
	}

	/**
	 * Records the fault, if there is one, that ended a send.
	 * @param endpoint the endpoint that the request was sent to
	 * @param cause why the send ended
	 * @param nowNanos the current steady time in ns
	 */
	void onSendFailed(Endpoint endpoint, SendFailureCause cause, long nowNanos) {
		cause.fault().ifPresent((kind) -> this.faults.recordFault(kind, endpoint.id(), nowNanos));
	}

	/**
	 * Records a fault against the endpoint that caused a refusal.
	 * @param target the endpoint that the request was sent to
	 * @param response the refusal
	 * @param nowNanos the current steady time in ns
	 * @return whether the cause is another endpoint than the target
	 */
	boolean onRefused(Endpoint target, ReceivedResponse response, long nowNanos) {
		String faultyAddress = response.fields().faultAddress().orElse(SocketAddresses.text(target.address()));
		Endpoint faulty = this.directory.findUsableAt(target.service(), faultyAddress).orElse(target);
		this.log.recordBlame(faulty, target, response.status());
		this.faults.recordFault(FaultKind.DECLINED, faulty.id(), nowNanos);
		recordPlainFailure(faulty, nowNanos);
		return !faulty.id().equals(target.id());
	}

	private void recordPlainFailure(Endpoint endpoint, long nowNanos) {
		if (endpoint.layers().isEmpty()) {
			this.plainSelector.recordFailure(endpoint.id(), nowNanos);
			this.log.count(EntryMetrics.Count.PLAIN_FAILURES);
		}
	}

}
