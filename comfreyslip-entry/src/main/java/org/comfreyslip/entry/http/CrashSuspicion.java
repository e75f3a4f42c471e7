package org.comfreyslip.entry.http;

import java.util.Set;

import org.comfreyslip.entry.blame.CrashBlame;
import org.comfreyslip.entry.blame.RequestTraits;
import org.comfreyslip.entry.blame.SuspectRequest;
import org.comfreyslip.entry.model.ClientAccount;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Whether a request may be the cause of crashes of endpoints, and what is recorded of it.
 */
final class CrashSuspicion {

	private final CrashBlame blame;

	private final String requestId;

	/** Digest that only this request has when it is sent again. */
	private final String digest;

	/** What other requests that crash endpoints may have in common with this one. */
	private final Set<String> traits;

	/** Whether an endpoint has answered for some time, so that this one crashes none. */
	private boolean proven;

	/**
	 * Creates the suspicion of a request that no endpoint has answered.
	 * @param blame what is known of requests that crash endpoints
	 * @param request the request
	 * @param fields the fields of its head
	 * @param admitted the admitted request
	 */
	CrashSuspicion(CrashBlame blame, CallerConnection.IncomingRequest request, HeaderTranslator.RequestFields fields,
			RequestAdmission.AdmittedRequest admitted) {
		this.blame = blame;
		this.requestId = fields.attemptId();
		this.digest = RequestDigest.of(request, admitted.account().map(ClientAccount::name).orElse(""));
		this.traits = RequestTraits.of(admitted.service(), fields.sharedPromptParts(), this.digest);
	}

	String digest() {
		return this.digest;
	}

	Set<String> traits() {
		return this.traits;
	}

	/**
	 * Records that an endpoint has answered the request.
	 * @param nowNanos the current steady time in ns
	 */
	void onAnswered(long nowNanos) {
		this.proven = true;
		this.blame.onAnswered(this.traits, nowNanos);
	}

	/**
	 * Records that events have arrived.
	 * @param progress progress of the send
	 * @param nowNanos the current steady time in ns
	 */
	void onEvents(SendProgress progress, long nowNanos) {
		if (!this.proven && progress.isProven(nowNanos)) {
			onAnswered(nowNanos);
		}
	}

	/**
	 * Tells whether an endpoint may have crashed because of the request.
	 * @param cause why the send ended
	 * @param progress progress of the send
	 * @param nowNanos the current steady time in ns
	 * @return whether the connection was closed before the request was proven harmless
	 */
	boolean isPossible(SendFailureCause cause, SendProgress progress, long nowNanos) {
		return cause.isConnectionLost() && !this.proven && !progress.isProven(nowNanos);
	}

	/**
	 * Records that an endpoint may have crashed because of the request.
	 * @param endpoint the endpoint
	 * @param nowNanos the current steady time in ns
	 */
	void onSendBroken(Endpoint endpoint, long nowNanos) {
		this.blame.onSendBroken(endpoint.processId(), new SuspectRequest(this.requestId, this.traits), nowNanos);
	}

	/**
	 * Tells whether the request may be sent once more after a broken send.
	 * @param nowNanos the current steady time in ns
	 * @return whether it may
	 */
	boolean mayRepeat(long nowNanos) {
		return this.blame.mayRepeat(this.traits, nowNanos);
	}

}
