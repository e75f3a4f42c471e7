package org.comfreyslip.daemon.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.comfreyslip.coordination.CodedException;

/**
 * Body of a response that reports an error.
 *
 * @param error what went wrong
 */
record ErrorReply(Detail error) {

	static ErrorReply of(CodedException ex, String requestId) {
		return new ErrorReply(
				new Detail(ex.code().name(), ex.getMessage(), ex.code().remedy(), requestId, ex.isNotRun()));
	}

	/**
	 * What went wrong and what the caller can do.
	 *
	 * @param code the name of the {@link org.comfreyslip.coordination.ErrorCode}
	 * @param message what was found
	 * @param remedy what the caller can do
	 * @param requestId the request's id, or {@code null} if it was not admitted
	 * @param notRun whether the request is known not to have run
	 */
	record Detail(String code, String message, String remedy, @JsonProperty("request_id") String requestId,
			@JsonProperty("not_run") boolean notRun) {
	}

}
