package org.comfreyslip.load.scenario;

/**
 * A scenario file that cannot be used.
 */
public final class ScenarioException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the error.
	 * @param message file, section, key, what was found and what is allowed
	 */
	public ScenarioException(String message) {
		super(message);
	}

}
