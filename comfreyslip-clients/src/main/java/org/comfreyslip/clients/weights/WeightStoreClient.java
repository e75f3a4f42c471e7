package org.comfreyslip.clients.weights;

import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.FutureSupport;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.coordination.CodedException;

/**
 * Client of the platform's weight store.
 */
public final class WeightStoreClient {

	private final HttpTransport http;

	private final String address;

	private final int limitMillis;

	/**
	 * Creates a client.
	 * @param http the shared HTTP client
	 * @param address ip:port of the weight store
	 * @param limitMillis time limit of a call in milliseconds
	 */
	public WeightStoreClient(HttpTransport http, String address, int limitMillis) {
		this.http = http;
		this.address = address;
		this.limitMillis = limitMillis;
	}

	/**
	 * Asks for permission to fetch weights.
	 * @param holder name of the process that wants to fetch
	 * @param bytes number of bytes to fetch
	 * @return the response, granted or not, or a {@link CodedException}
	 */
	public CompletableFuture<RateLease> lease(String holder, long bytes) {
		HttpCall call = HttpCall.post(this.address, "/leases-of-rate", new RateLeaseRequest(holder, bytes))
			.within(this.limitMillis);
		return FutureSupport.map(this.http.send(call), (reply) -> reply.json(RateLease.class));
	}

}
