package org.comfreyslip.operator;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.coordination.CodedException;

/**
 * Calls to one daemon's address for operators. Each throws {@link CodedException} with
 * {@code ENDPOINT_FAILED} if the daemon gives no usable response and with
 * {@code UNAUTHENTICATED} if it refuses the key.
 */
public interface DaemonApi {

	/**
	 * Returns the daemon's address.
	 * @return the IP address and port
	 */
	String address();

	/**
	 * Reads the daemon's state ({@code GET /admin/status}).
	 * @return the state
	 */
	DaemonStatus status();

	/**
	 * Reads the route record of a request ({@code GET /admin/explain/{request}}).
	 * @param request the request's id
	 * @return the record, or empty if the daemon does not know the request
	 */
	Optional<JsonNode> explain(String request);

	/**
	 * Starts a graceful shutdown ({@code POST /admin/drain}).
	 */
	void drain();

}
