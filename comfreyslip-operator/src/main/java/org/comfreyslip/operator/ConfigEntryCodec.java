package org.comfreyslip.operator;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON encoding of the configuration stream's records.
 */
final class ConfigEntryCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ConfigEntryCodec() {
	}

	static byte[] encode(ProposalEntry proposal) {
		ObjectNode document = MAPPER.createObjectNode();
		document.put("type", "proposal");
		document.put("id", proposal.id());
		document.put("baseNumber", proposal.baseNumber());
		document.put("baseDigest", proposal.baseDigest());
		document.put("author", proposal.author());
		document.put("text", proposal.text());
		document.put("digest", proposal.digest());
		try {
			return MAPPER.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("strings and numbers can always be written", ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param data the record
	 * @return the entry, or empty for a record of another type or without JSON
	 */
	static Optional<ConfigEntry> decode(byte[] data) {
		try {
			JsonNode document = MAPPER.readTree(data);
			return switch (document.path("type").asText()) {
				case "proposal" ->
					Optional.of(new ProposalEntry(document.path("id").asText(), document.path("baseNumber").asLong(),
							document.path("baseDigest").asText(), document.path("author").asText(),
							document.path("text").asText(), document.path("digest").asText()));
				case "checkpoint" -> Optional.of(new CheckpointEntry(document.path("number").asLong(),
						document.path("offset").asLong(), document.path("digest").asText(),
						document.path("text").asText(), document.path("foldedUpTo").asLong()));
				default -> Optional.empty();
			};
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
