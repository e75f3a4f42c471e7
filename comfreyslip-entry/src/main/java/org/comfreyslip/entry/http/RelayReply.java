package org.comfreyslip.entry.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * What a daemon states of its response to a request that another daemon passed on.
 *
 * @param kind whose response it is
 * @param attemptId identity of the attempt to which it responds
 */
record RelayReply(Kind kind, String attemptId) {

	void writeTo(HttpHeaders headers) {
		headers.set(RelayEnvelope.FIELD, this.kind + ";" + this.attemptId);
	}

	/**
	 * Reads the statement from the header fields of a response.
	 * @param headers the header fields
	 * @return the statement; empty if there is none
	 */
	static Optional<RelayReply> readFrom(HttpHeaders headers) {
		String value = headers.get(RelayEnvelope.FIELD);
		int separator = (value != null) ? value.indexOf(';') : -1;
		if (separator < 0) {
			return Optional.empty();
		}
		String name = value.substring(0, separator);
		for (Kind kind : Kind.values()) {
			if (kind.name().equals(name)) {
				return Optional.of(new RelayReply(kind, value.substring(separator + 1)));
			}
		}
		return Optional.empty();
	}

	/** Whose response it is. */
	enum Kind {

		/** The response of an endpoint. */
		ENDPOINT,

		/** The final response of the daemon itself. */
		DAEMON,

		/** None: the daemon has not taken the request, and it has not run there. */
		DECLINED

	}

}
