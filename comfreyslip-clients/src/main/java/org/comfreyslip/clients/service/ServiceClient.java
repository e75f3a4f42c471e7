package org.comfreyslip.clients.service;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpStream;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.coordination.CallBoundary;

/**
 * Client of one endpoint of a plain service. A call is sent at most once.
 */
public final class ServiceClient {

	private final HttpTransport http;

	private final String address;

	/**
	 * Creates a client.
	 * @param http the shared HTTP client
	 * @param address ip:port of the endpoint
	 */
	public ServiceClient(HttpTransport http, String address) {
		this.http = http;
		this.address = address;
	}

	/**
	 * Sends a call whose boundary is shared with code that may close it first.
	 * @param call the request to send
	 * @param boundary opened after the connection is open and before the first request
	 * byte
	 * @return see {@link #send(ServiceCall, BooleanSupplier)}
	 */
	public CompletableFuture<HttpStream> send(ServiceCall call, CallBoundary boundary) {
		return send(call, boundary::tryOpen);
	}

	/**
	 * Sends a call.
	 * @param call the request to send
	 * @param mayOpen asked once, after the connection is open and before the first
	 * request byte; {@code false} ends the call without sending a byte
	 * @return the response with any status as soon as its headers are there, to be closed
	 * by the receiver, or a {@link CallFailedException} that tells whether a byte may
	 * have been sent
	 */
	public CompletableFuture<HttpStream> send(ServiceCall call, BooleanSupplier mayOpen) {
		return this.http.stream(new HttpCall(this.address, call.method(), call.path(), call.headers(), call.body(),
				call.readMillis(), 0, mayOpen));
	}

}
