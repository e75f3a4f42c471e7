package org.comfreyslip.standins;

import io.jooby.Context;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Request to a stand-in.
 */
public final class StandinRequest {

	private final Context context;

	private final byte[] body;

	StandinRequest(Context context) {
		this.context = context;
		this.body = context.body().bytes();
	}

	/**
	 * Returns the body.
	 * @return the bytes, empty if there is none
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Reads the body as JSON.
	 * @param <T> the message type
	 * @param type the message type
	 * @return the message
	 */
	public <T> T json(Class<T> type) {
		return JsonCodec.read(this.body, type);
	}

	/**
	 * Returns a part of the path.
	 * @param name name in the route's pattern
	 * @return the text
	 */
	public String path(String name) {
		return this.context.path(name).value();
	}

	/**
	 * Returns a query parameter.
	 * @param name the name
	 * @param absent the value if it is absent
	 * @return the text
	 */
	public String query(String name, String absent) {
		return this.context.query(name).value(absent);
	}

	/**
	 * Returns a numeric query parameter.
	 * @param name the name
	 * @param absent the value if it is absent
	 * @return the number
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if it is not a number
	 */
	public long query(String name, long absent) {
		return number(name, query(name, Long.toString(absent)));
	}

	/**
	 * Returns a header.
	 * @param name the name
	 * @return the value, or {@code null}
	 */
	public String header(String name) {
		return this.context.header(name).valueOrNull();
	}

	/**
	 * Returns a numeric header.
	 * @param name the name
	 * @param absent the value if it is absent
	 * @return the number
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if it is not a number
	 */
	public long header(String name, long absent) {
		String value = header(name);
		return (value != null) ? number(name, value) : absent;
	}

	private static long number(String name, String value) {
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST, name + " is not a number: " + value, ex);
		}
	}

}
