package org.comfreyslip.coordination.claim;

/**
 * The recorded part of the response of a service.
 *
 * @param status the HTTP status
 * @param contentType the content type, possibly empty
 * @param digest the digest of the whole body
 * @param bodyBase64 the body in base64, or an empty text if the body is not recorded
 * @param bodyRecorded whether the body is recorded. Bodies above {@link #MAX_BODY_BYTES}
 * are represented by their digest only.
 */
public record RecordedResponse(int status, String contentType, String digest, String bodyBase64, boolean bodyRecorded) {

	/**
	 * The size of the largest recorded body, in bytes. It keeps a batch of 64 outcomes
	 * below 200 KB.
	 */
	public static final int MAX_BODY_BYTES = 2048;

}
