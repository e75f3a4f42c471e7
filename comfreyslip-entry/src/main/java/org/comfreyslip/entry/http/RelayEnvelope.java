package org.comfreyslip.entry.http;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * What a daemon states of a request that it passes on to another daemon, in a header
 * field of its own. Everything else is decided anew by the daemon that takes the request.
 *
 * @param configurationVersion version of the configuration under which the request was
 * admitted; a daemon with an older one must not serve it
 * @param mayHaveRun whether an endpoint may have run the request
 * @param triedEndpoints identities of the endpoints that may have run it, which count
 * against the limit of its route; may be empty
 */
record RelayEnvelope(long configurationVersion, boolean mayHaveRun, List<String> triedEndpoints) {

	/** Name of the header field, in requests and in responses to them. */
	static final String FIELD = "Comfreyslip-Relay";

	/** Largest size of the field in a request, in bytes, with its name. */
	static final int MAX_BYTES = 1_024;

	private static final int PART_COUNT = 3;

	static RelayEnvelope of(long configurationVersion, boolean mayHaveRun, Collection<String> triedEndpoints) {
		return new RelayEnvelope(configurationVersion, mayHaveRun, List.copyOf(triedEndpoints));
	}

	String encode() {
		return this.configurationVersion + ";" + this.mayHaveRun + ";" + String.join(",", this.triedEndpoints);
	}

	/**
	 * Decodes the value of the header field.
	 * @param value the value; may be null
	 * @return the envelope; empty if the value is not one
	 */
	static Optional<RelayEnvelope> decode(String value) {
		String[] parts = (value != null) ? value.split(";", PART_COUNT) : new String[0];
		if (parts.length != PART_COUNT) {
			return Optional.empty();
		}
		try {
			List<String> tried = Arrays.stream(parts[2].split(",")).filter((id) -> !id.isBlank()).toList();
			return Optional.of(new RelayEnvelope(Long.parseLong(parts[0]), Boolean.parseBoolean(parts[1]), tried));
		}
		catch (NumberFormatException ex) {
			// Any process may send to the port; the caller rejects the request.
			return Optional.empty();
		}
	}

}
