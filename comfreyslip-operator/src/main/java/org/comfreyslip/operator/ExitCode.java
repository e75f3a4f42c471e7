package org.comfreyslip.operator;

import org.comfreyslip.coordination.ErrorCode;

/**
 * Exit codes of the command. Scripts match on them, so a code keeps its meaning. The
 * codes 1 and 2 also state the result of {@code validate}; only then a result is printed.
 * The first constants are in the order of their codes, by which the acceptance tests name
 * the exit value of a process.
 */
public enum ExitCode {

	/** The command did what was asked. */
	OK(0, "the command did what was asked", "no action"),

	/** An error that no other code describes. */
	FAILED(1, "an error that no other code describes; the message names it",
			"correct what the message names; report an internal error to the maintainers"),

	/** The arguments are wrong. */
	USAGE(2, "the arguments are wrong; nothing was done", "see 'comfreyslip --help'"),

	/** The text has faults. */
	INVALID_TEXT(3, "the text has faults; nothing was proposed", "correct the faults and run 'check' again"),

	/** The proposal was refused, because another version is in force. */
	REFUSED(4, "the proposal was refused, because its base is no longer in force",
			"take the version now in force, apply the change to it and propose again"),

	/** Whether the proposal was accepted could not be determined. */
	UNKNOWN(5, "whether the proposal was accepted could not be determined in time",
			"run propose again with the same --base and --id"),

	/** The log or a daemon cannot be reached. */
	UNREACHABLE(6, "the log or a daemon gave no usable response",
			"check the address and the service, then run the command again"),

	/** The state was not reached in time. */
	TIMED_OUT(7, "the version was not in force on all daemons in time",
			"look at the daemons that are behind with 'status', then wait again"),

	/** The request, service or version is not known. */
	NOT_FOUND(8, "the request, service or version is not known", "correct the name, or name more daemons"),

	/** The daemon refused the operator's key. */
	UNAUTHENTICATED(9, "a daemon refused the operator's key",
			"give the key of an operator of the text in force with --key-file"),

	/** The text that {@code validate} was given has warnings and no errors. */
	WARNINGS(1, "of `validate`: the text has warnings and no errors",
			"consider each warning before the text is proposed"),

	/** The text that {@code validate} was given has errors. */
	ERRORS(2, "of `validate`: the text has errors", "correct the errors and run 'validate' again");

	private final int code;

	private final String meaning;

	private final String remedy;

	ExitCode(int code, String meaning, String remedy) {
		this.code = code;
		this.meaning = meaning;
		this.remedy = remedy;
	}

	/**
	 * Returns the exit code that fits an error.
	 * @param code the error's code
	 * @return the exit code
	 */
	public static ExitCode of(ErrorCode code) {
		return switch (code) {
			case INVALID_SETTINGS -> INVALID_TEXT;
			case CONFIG_CONFLICT -> REFUSED;
			case OUTCOME_UNKNOWN -> UNKNOWN;
			case LOG_UNAVAILABLE, ENDPOINT_FAILED, NO_ENDPOINT -> UNREACHABLE;
			case DEADLINE_EXCEEDED -> TIMED_OUT;
			case NOT_FOUND, UNKNOWN_MODEL, UNKNOWN_SERVICE -> NOT_FOUND;
			case UNAUTHENTICATED -> UNAUTHENTICATED;
			case BAD_REQUEST -> USAGE;
			default -> FAILED;
		};
	}

	/**
	 * Returns the code of the process.
	 * @return 0 to 9
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the meaning for the help text and the reference page.
	 * @return a phrase without a final period
	 */
	public String meaning() {
		return this.meaning;
	}

	/**
	 * Returns what the operator can do about the result.
	 * @return a phrase without a final period
	 */
	public String remedy() {
		return this.remedy;
	}

}
