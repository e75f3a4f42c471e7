package org.comfreyslip.daemon.http;

import io.jooby.Context;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.Failures;

/**
 * Writes responses to callers.
 */
final class Replies {

	private static final String JSON = "application/json";

	private static final long MILLIS_PER_SECOND = 1_000;

	private Replies() {
	}

	static void json(Context context, int status, Object message) {
		context.setResponseCode(status);
		context.setResponseHeader("Content-Type", JSON);
		context.send(JsonCodec.write(message));
	}

	static void error(Context context, Throwable failure, String requestId) {
		Throwable cause = Failures.unwrap(failure);
		if (!(cause instanceof CodedException)) {
			DaemonEvent.UNEXPECTED.log(requestId, cause);
		}
		CodedException ex = Failures.coded(cause, ErrorCode.INVARIANT_VIOLATED);
		if (context.isResponseStarted()) {
			return;
		}
		if (ex.retryAfterMillis() >= 0) {
			long seconds = (ex.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			context.setResponseHeader("Retry-After", Long.toString(seconds));
		}
		json(context, ex.code().httpStatus(), ErrorReply.of(ex, requestId));
	}

}
