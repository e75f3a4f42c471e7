package org.comfreyslip.clients.hosts;

import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.FutureSupport;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.coordination.CodedException;

/**
 * Client of the platform's host list.
 */
public final class HostListClient {

	private final HttpTransport http;

	private final String address;

	private final int limitMillis;

	/**
	 * Creates a client.
	 * @param http the shared HTTP client
	 * @param address ip:port of the host list
	 * @param limitMillis time limit of a call in milliseconds
	 */
	public HostListClient(HttpTransport http, String address, int limitMillis) {
		this.http = http;
		this.address = address;
		this.limitMillis = limitMillis;
	}

	/**
	 * Fetches the list.
	 * @return the list, or a {@link CodedException} if it cannot be fetched
	 */
	public CompletableFuture<HostList> hosts() {
		HttpCall call = HttpCall.get(this.address, "/hosts").within(this.limitMillis);
		return FutureSupport.map(this.http.send(call), (reply) -> reply.json(HostList.class));
	}

}
