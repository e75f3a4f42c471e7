package org.comfreyslip.clients;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Application interceptor that sets the time limit of one call between bytes.
 */
final class LimitInterceptor implements Interceptor {

	@Override
	public Response intercept(Chain chain) throws IOException {
		CallState state = chain.request().tag(CallState.class);
		if (state == null || state.call().readMillis() == 0) {
			return chain.proceed(chain.request());
		}
		return chain.withReadTimeout(state.call().readMillis(), TimeUnit.MILLISECONDS).proceed(chain.request());
	}

}
