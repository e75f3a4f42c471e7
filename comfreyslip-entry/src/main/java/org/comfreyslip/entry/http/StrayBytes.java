package org.comfreyslip.entry.http;

/**
 * Where on a connection an endpoint sent bytes that belong to no response that is due.
 */
public enum StrayBytes {

	/** Behind a complete response. */
	AFTER_RESPONSE,

	/** While the connection carried no request. */
	WHILE_IDLE,

	/** A response to an earlier request, while another one was due. */
	BEFORE_RESPONSE

}
