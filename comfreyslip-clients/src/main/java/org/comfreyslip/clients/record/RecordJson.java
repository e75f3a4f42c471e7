package org.comfreyslip.clients.record;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimRecord;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.lease.LeaseRecord;

/**
 * Writes and reads the log records as JSON. The coordination library does not depend on
 * JSON, so the type names of its sealed records are attached here.
 */
final class RecordJson {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.serializationInclusion(JsonInclude.Include.NON_NULL)
		.addMixIn(ConfigRecord.class, ConfigTypes.class)
		.addMixIn(ClaimRecord.class, ClaimTypes.class)
		.addMixIn(LeaseRecord.class, LeaseTypes.class)
		.build();

	private RecordJson() {
	}

	static byte[] write(Object message) {
		try {
			return MAPPER.writeValueAsBytes(message);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED, "cannot write " + message.getClass(), ex);
		}
	}

	/**
	 * Reads a record.
	 * @param <T> the record type
	 * @param json the bytes of a log record
	 * @param type the record type
	 * @return the record, or empty if the bytes are no record of this program
	 */
	static <T> Optional<T> read(byte[] json, Class<T> type) {
		try {
			return Optional.ofNullable(MAPPER.readValue(json, type));
		}
		catch (IOException | RuntimeException ex) {
			return Optional.empty();
		}
	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
	@JsonSubTypes({ @JsonSubTypes.Type(value = ConfigRecord.Proposal.class, name = "proposal"),
			@JsonSubTypes.Type(value = ConfigRecord.Checkpoint.class, name = "checkpoint") })
	private interface ConfigTypes {

	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
	@JsonSubTypes({ @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "claim"),
			@JsonSubTypes.Type(value = ClaimRecord.Outcome.class, name = "outcome"),
			@JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "release") })
	private interface ClaimTypes {

	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
	@JsonSubTypes({ @JsonSubTypes.Type(value = LeaseRecord.Acquire.class, name = "acquire"),
			@JsonSubTypes.Type(value = LeaseRecord.Renew.class, name = "renew"),
			@JsonSubTypes.Type(value = LeaseRecord.Resign.class, name = "resign") })
	private interface LeaseTypes {

	}

}
