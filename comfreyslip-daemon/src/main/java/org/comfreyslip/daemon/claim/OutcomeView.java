package org.comfreyslip.daemon.claim;

import java.util.Optional;

import org.comfreyslip.coordination.claim.RecordedResponse;

/**
 * What is known about the outcome of a key.
 *
 * @param state the state
 * @param response the result, if the state is {@link State#DONE}
 */
public record OutcomeView(State state, Optional<RecordedResponse> response) {

	/** State of a key. */
	public enum State {

		/** The call was executed. */
		DONE,

		/** No claim on the key exists. */
		NOT_CLAIMED,

		/** A claim exists and its outcome is not known. */
		UNKNOWN,

		/** The claims of the key have not been read completely, or the key is too old. */
		NOT_CHECKED

	}

}
