package org.comfreyslip.daemon.claim;

import java.util.Optional;

import org.comfreyslip.coordination.claim.RecordedResponse;

/**
 * What is known about the outcome of a key.
 *
 * @param state how much is known
 * @param response the recorded response if the state is {@link State#DONE}, otherwise
 * empty
 */
public record OutcomeView(State state, Optional<RecordedResponse> response) {

	/** What is known about the outcome of a key. */
	public enum State {

		/** The call was executed and its response is known. */
		DONE,

		/** No claim on the key exists. */
		NOT_CLAIMED,

		/** A claim on the key exists, but its outcome is not known. */
		UNKNOWN,

		/**
		 * The claim records of the key were not read completely, or the key is too old.
		 */
		NOT_CHECKED

	}

}
