package org.comfreyslip.clients;

import java.io.IOException;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Network interceptor that asks the boundary of a call before the first request byte. An
 * exception here ends the call before OkHttp writes anything, whereas a cancellation from
 * an event listener would depend on the socket being closed in time.
 */
final class BoundaryInterceptor implements Interceptor {

	private static final String RETRY_AFTER = "Retry-After";

	@Override
	public Response intercept(Chain chain) throws IOException {
		CallState state = chain.request().tag(CallState.class);
		if (state != null && (state.isSent() || !state.tryOpen())) {
			throw new IOException(state.isSent() ? "the call was about to be repeated" : "the boundary is closed");
		}
		Response response = chain.proceed(chain.request());
		// OkHttp repeats a call on status 503 with Retry-After 0, even with retries off.
		if ("0".equals(response.header(RETRY_AFTER))) {
			return response.newBuilder().removeHeader(RETRY_AFTER).build();
		}
		return response;
	}

}
