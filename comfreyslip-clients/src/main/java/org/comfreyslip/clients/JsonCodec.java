package org.comfreyslip.clients;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Writes and reads messages as JSON: camelCase keys, byte arrays in base64, absent keys
 * for {@code null}, unknown keys ignored.
 */
public final class JsonCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);

	private JsonCodec() {
	}

	/**
	 * Writes a message.
	 * @param message the message, usually a record
	 * @return the JSON text in UTF-8
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the type cannot
	 * be written
	 */
	public static byte[] write(Object message) {
		try {
			return MAPPER.writeValueAsBytes(message);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED, "cannot write " + message.getClass(), ex);
		}
	}

	/**
	 * Reads a message.
	 * @param <T> the message type
	 * @param json the JSON text in UTF-8
	 * @param type class to read the text as
	 * @return the message, never {@code null}
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the text does not
	 * match the type
	 */
	public static <T> T read(byte[] json, Class<T> type) {
		try {
			T message = MAPPER.readValue(json, type);
			if (message == null) {
				throw new CodedException(ErrorCode.BAD_REQUEST, "null where a " + type.getSimpleName() + " was due");
			}
			return message;
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST,
					"not a " + type.getSimpleName() + ": " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "not a " + type.getSimpleName(), ex);
		}
	}

}
