package org.comfreyslip.entry.http;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;

/**
 * Why a connection to an endpoint could not be opened.
 */
enum ConnectFailure {

	/** The connection was refused or reset at once. */
	REFUSED,

	/** No answer came within the time limit. */
	TIMED_OUT,

	/** Another failure, for example no route or no free file descriptor. */
	OTHER;

	/**
	 * Classifies the failure of an attempt.
	 * @param cause the exception of the attempt
	 * @return the kind of failure
	 */
	static ConnectFailure of(Throwable cause) {
		if (cause instanceof ConnectTimeoutException) {
			return TIMED_OUT;
		}
		return (cause instanceof ConnectException) ? REFUSED : OTHER;
	}

}
