package org.comfreyslip.standins;

import java.util.concurrent.CompletableFuture;

/**
 * Handles requests of one route. It runs on an event loop thread and must not block.
 */
@FunctionalInterface
public interface StandinHandler {

	/**
	 * Handles a request.
	 * @param request the request
	 * @return the response; a failure becomes an error response
	 */
	CompletableFuture<StandinReply> handle(StandinRequest request);

}
