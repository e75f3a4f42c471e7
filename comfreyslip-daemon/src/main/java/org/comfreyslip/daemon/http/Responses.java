package org.comfreyslip.daemon.http;

import io.jooby.Context;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.Failures;

/**
 * Sends JSON responses and typed errors to callers.
 */
final class Responses {

	private static final String JSON = "application/json";

	private static final long MILLIS_PER_SECOND = 1_000;

	private Responses() {
	}

	static void sendJson(Context context, int status, Object message) {
		context.setResponseCode(status);
		context.setResponseHeader("Content-Type", JSON);
		context.send(JsonCodec.write(message));
	}

	/**
	 * Sends the error that belongs to a failure, unless the response has started. A
	 * failure without a code is logged and sent as {@link ErrorCode#INVARIANT_VIOLATED}.
	 * @param context the HTTP request
	 * @param failure the failure, possibly wrapped by a future
	 * @param requestId the request's id, or {@code null} if it was not admitted
	 */
	static void sendError(Context context, Throwable failure, String requestId) {
		Throwable cause = Failures.unwrap(failure);
		if (!(cause instanceof CodedException)) {
			DaemonEvent.UNEXPECTED.log(requestId, cause);
		}
		CodedException ex = Failures.toCodedException(cause, ErrorCode.INVARIANT_VIOLATED);
		if (context.isResponseStarted()) {
			return;
		}
		if (ex.retryAfterMillis() >= 0) {
			long seconds = (ex.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			context.setResponseHeader("Retry-After", Long.toString(seconds));
		}
		sendJson(context, ex.code().httpStatus(), ErrorReply.of(ex, requestId));
	}

}
