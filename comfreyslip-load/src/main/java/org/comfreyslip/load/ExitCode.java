package org.comfreyslip.load;

/**
 * Exit codes of the load tool.
 */
final class ExitCode {

	/** The command did what was asked. */
	static final int OK = 0;

	/** The run found violations. */
	static final int VIOLATIONS = 1;

	/** The arguments are invalid. */
	static final int USAGE = 2;

	/** A scenario, result or output file cannot be read, used or written. */
	static final int FILES = 3;

	/** The run could not be carried out. */
	static final int RUN_FAILED = 4;

	private ExitCode() {
	}

}
