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
	 * Returns the body. Forms are refused: Jooby parses them and keeps no bytes of the
	 * body, so that an empty body would be forwarded.
	 * @param context the HTTP request
	 * @param boundary records whether the request may have run; closed if the body is
	 * refused
	 * @return the bytes, empty if there is no body
	 * @throws CodedException if the body is a form
	 */
	static byte[] bytes(Context context, CallBoundary boundary) {
		String type = context.header("Content-Type").value("").trim().toLowerCase(Locale.ROOT);
		if (type.startsWith(FORM) || type.startsWith(MULTIPART)) {
			throw boundary.closeAsNotRun(ErrorCode.BAD_REQUEST,
					"Content-Type is a form; allowed is any type except " + FORM + " and " + MULTIPART, -1);
		}
		return context.body().bytes();
	}

}
