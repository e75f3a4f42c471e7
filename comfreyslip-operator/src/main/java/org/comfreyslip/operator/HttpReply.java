package org.comfreyslip.operator;

/**
 * Status and body of a response.
 *
 * @param status the HTTP status
 * @param body the body
 */
record HttpReply(int status, String body) {

	boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}
