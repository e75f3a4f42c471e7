package org.comfreyslip.load.scenario;

import java.util.Locale;

/**
 * What a caller asks for.
 */
public enum RequestKind {

	/** A completion in one piece. */
	UNARY,

	/** A completion by server-sent events. */
	STREAMED,

	/** The outcome of an earlier stamp. */
	LOOK_UP,

	/** A protected call with an idempotency key. */
	STAMP,

	/** A completion by direct steps on the engines, without a daemon. */
	DIRECT;

	/**
	 * Returns the name in scenario files and results.
	 * @return lower case with hyphens
	 */
	public String key() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns whether the answer is a text of a model.
	 * @return {@code true} for completions
	 */
	public boolean isCompletion() {
		return this == UNARY || this == STREAMED || this == DIRECT;
	}

}
