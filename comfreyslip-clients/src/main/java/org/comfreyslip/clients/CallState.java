package org.comfreyslip.clients;

/**
 * Tag of an OkHttp call: the call with its limits, and whether a byte may have been sent.
 */
final class CallState {

	private final HttpCall call;

	private volatile boolean sent;

	CallState(HttpCall call) {
		this.call = call;
	}

	HttpCall call() {
		return this.call;
	}

	boolean isSent() {
		return this.sent;
	}

	boolean tryOpen() {
		if (!this.call.boundary().getAsBoolean()) {
			return false;
		}
		this.sent = true;
		return true;
	}

}
