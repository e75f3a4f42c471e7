package org.comfreyslip.routing.topology;

/**
 * A method and path pattern of non-idempotent calls, which must not be repeated.
 *
 * @param method the HTTP method in upper case
 * @param path the path below the service; a segment {@code *} matches any one segment
 */
public record CallPattern(String method, String path) {

	/**
	 * Returns whether a call matches.
	 * @param callMethod the HTTP method in upper case
	 * @param callPath the path below the service, without query
	 * @return {@code true} if method and all segments match
	 */
	public boolean matches(String callMethod, String callPath) {
		if (!this.method.equals(callMethod)) {
			return false;
		}
		String[] expected = this.path.split("/", -1);
		String[] actual = callPath.split("/", -1);
		if (expected.length != actual.length) {
			return false;
		}
		for (int i = 0; i < expected.length; i++) {
			if (!expected[i].equals("*") && !expected[i].equals(actual[i])) {
				return false;
			}
		}
		return true;
	}

}
