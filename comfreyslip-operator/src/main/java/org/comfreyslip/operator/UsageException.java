package org.comfreyslip.operator;

/**
 * The arguments are wrong.
 */
final class UsageException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	UsageException(String message) {
		super(message);
	}

}
