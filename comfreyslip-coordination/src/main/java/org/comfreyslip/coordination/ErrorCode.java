package org.comfreyslip.coordination;

/**
 * Stable codes of errors. Each code keeps its name across versions, because clients and
 * dashboards match on it.
 */
public enum ErrorCode {

	/** The request is malformed. */
	BAD_REQUEST(400, "correct the request as the message says and send it again"),

	/** The credential is missing or belongs to no client account. */
	UNAUTHENTICATED(401, "send 'Authorization: Bearer <key>' with a key of a configured client account"),

	/** The model is not part of the configuration in force. */
	UNKNOWN_MODEL(404, "use a model that GET /v1/models lists"),

	/** The service is not part of the configuration in force. */
	UNKNOWN_SERVICE(404, "use a service that the operators' text defines"),

	/** No resource has this path. */
	NOT_FOUND(404, "check the path"),

	/** The body is larger than the limit. */
	BODY_TOO_LARGE(413, "send a smaller body"),

	/** The client account is at its limit. */
	ACCOUNT_LIMIT(429, "send the request again after the Retry-After time"),

	/** The daemon or the endpoints are at capacity. */
	OVERLOADED(503, "send the request again after the Retry-After time"),

	/** The daemon is shutting down. */
	DRAINING(503, "send the request again; the balancer picks another daemon"),

	/** No configuration is in force on this daemon yet. */
	NOT_READY(503, "send the request again after the Retry-After time"),

	/** No live endpoint can take the request. */
	NO_ENDPOINT(503, "send the request again after the Retry-After time, or check the endpoints in the status"),

	/** A service that this one depends on is down. */
	DEPENDENCY_DOWN(503, "restore the dependency that the message names"),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504, "send the request again with a longer Request-Timeout-Ms"),

	/** A protected call has no idempotency key. */
	KEY_REQUIRED(400, "send an Idempotency-Key header with a UUIDv7"),

	/**
	 * The idempotency key is too old or too far in the future to be checked against
	 * earlier claims, or was claimed and released too often.
	 */
	KEY_EXPIRED(410, "look the outcome up; if nothing was recorded, send the request with a new key"),

	/** The idempotency key was used before with a different request. */
	KEY_REUSED(422, "use a new idempotency key for a different request"),

	/** Another attempt with this key is in progress or ended without a known outcome. */
	OUTCOME_UNKNOWN(502, "look the outcome up at the path that the message names; do not use a new key"),

	/** The log service is unavailable, so no key can be claimed. */
	LOG_UNAVAILABLE(503, "send the request again with the same key after the Retry-After time"),

	/** An endpoint failed while it processed the request. */
	ENDPOINT_FAILED(502, "send the request again if it may be repeated"),

	/**
	 * The endpoint refused the attempt, because it has received a newer attempt of the
	 * same stream.
	 */
	STALE_ATTEMPT(409, "no action; a newer attempt of the same stream is at work"),

	/** The endpoint does not hold the stream's KV cache up to the step's position. */
	KV_MISSING(409, "import or rebuild the stream's KV cache on this endpoint"),

	/** The fencing token of an order is lower than the highest one received. */
	STALE_FENCE(409, "acquire the lease again before giving orders"),

	/** An internal invariant does not hold. */
	INVARIANT_VIOLATED(500, "report the message and the request id to the maintainers"),

	/** A configuration text of the operators or a settings file is invalid. */
	INVALID_SETTINGS(400, "correct the faults listed and run the check again"),

	/** The proposal's base version is no longer in force. */
	CONFIG_CONFLICT(409, "take the version now in force, apply the change to it and propose again");

	private final int httpStatus;

	private final String remedy;

	ErrorCode(int httpStatus, String remedy) {
		this.httpStatus = httpStatus;
		this.remedy = remedy;
	}

	/**
	 * Returns the HTTP status of responses with this code.
	 * @return the status code, 400 to 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what the client or the operator can do about the error.
	 * @return a sentence without a final period
	 */
	public String remedy() {
		return this.remedy;
	}

}
