package org.comfreyslip.load.run;

/**
 * How a request ended.
 */
public enum AnswerClass {

	/** A complete answer. */
	DONE,

	/** The answer states that the request was not run. */
	NOT_RUN,

	/** The answer states that the outcome is unknown, or a stamp got no answer. */
	UNKNOWN,

	/** An error that does not state whether the request was run, or no answer. */
	FAILED,

	/** A stream that ended without {@code [DONE]} and without an error. */
	INCOMPLETE

}
