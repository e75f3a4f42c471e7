package org.comfreyslip.clients;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Application interceptor that sets the limit of a call for the first byte of the
 * response and between two bytes.
 */
final class ReadTimeoutInterceptor implements Interceptor {

	@Override
	public Response intercept(Chain chain) throws IOException {
		CallState state = chain.request().tag(CallState.class);
		if (state == null || state.call().readMillis() == 0) {
			return chain.proceed(chain.request());
		}
		return chain.withReadTimeout(state.call().readMillis(), TimeUnit.MILLISECONDS).proceed(chain.request());
	}

}
