package org.comfreyslip.daemon.http;

import java.util.Locale;

import io.jooby.Context;
import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The bytes of a request's body.
 */
final class RequestBody {

	private static final String FORM = "application/x-www-form-urlencoded";

	private static final String MULTIPART = "multipart/form-data";

	private RequestBody() {
	}

	/**
	 * Returns the body. Forms are refused, because Jooby takes them apart and has no
	 * bytes to offer, so that an empty body would be forwarded.
	 * @param context the HTTP request
	 * @param boundary the request's boundary
	 * @return the bytes, empty if there is no body
	 * @throws CodedException if the body is a form
	 */
	static byte[] bytes(Context context, CallBoundary boundary) {
		String type = context.header("Content-Type").value("").trim().toLowerCase(Locale.ROOT);
		if (type.startsWith(FORM) || type.startsWith(MULTIPART)) {
			throw boundary.closeAsNotRun(ErrorCode.BAD_REQUEST,
					"Content-Type is a form; allowed is any type but " + FORM + " and " + MULTIPART, -1);
		}
		return context.body().bytes();
	}

}
