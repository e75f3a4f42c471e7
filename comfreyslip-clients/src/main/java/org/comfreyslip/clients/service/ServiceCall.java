package org.comfreyslip.clients.service;

import java.util.List;

import org.comfreyslip.clients.HttpHeader;

/**
 * A call to a plain service.
 *
 * @param method HTTP method in capitals
 * @param path path with query, starting with {@code /}
 * @param headers headers in order
 * @param body request body, or {@code null} for none
 * @param readMillis limit for the first byte of the response and between two bytes, in
 * milliseconds
 */
public record ServiceCall(String method, String path, List<HttpHeader> headers, byte[] body, int readMillis) {

	/**
	 * Makes an unmodifiable copy of the headers.
	 */
	public ServiceCall {
		headers = List.copyOf(headers);
	}

}
