package org.comfreyslip.daemon.journal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Searches the other daemons for the record of a request.
 */
@FunctionalInterface
public interface RequestSearch {

	/**
	 * Queries the other daemons.
	 * @param id the request's id
	 * @return the record, or empty if no daemon that responded in time has it
	 */
	CompletableFuture<Optional<FoundRequest>> find(String id);

}
