package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The stream {@code config} of the log service over HTTP.
 */
final class HttpConfigStream implements ConfigStream {

	private static final MediaType BINARY = MediaType.get("application/octet-stream");

	private static final int INTERNAL_ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private final HttpJsonClient http;

	private final String address;

	HttpConfigStream(HttpJsonClient http, String address) {
		this.http = http;
		this.address = address;
	}

	@Override
	public StreamPage read(long from, int max) {
		HttpUrl url = records().addQueryParameter("from", String.valueOf(from))
			.addQueryParameter("max", String.valueOf(max))
			.addQueryParameter("waitMs", "0")
			.build();
		HttpReply reply = this.http.send(new Request.Builder().url(url).build(), peer(), ErrorCode.LOG_UNAVAILABLE,
				ErrorCode.LOG_UNAVAILABLE);
		if (!reply.isSuccess()) {
			throw new CodedException(ErrorCode.LOG_UNAVAILABLE, peer() + " responded with status " + reply.status());
		}
		return page(this.http.json(reply, peer(), ErrorCode.LOG_UNAVAILABLE));
	}

	@Override
	public long append(byte[] data) {
		Request request = new Request.Builder().url(records().build()).post(RequestBody.create(data, BINARY)).build();
		HttpReply reply = this.http.send(request, peer(), ErrorCode.LOG_UNAVAILABLE, ErrorCode.OUTCOME_UNKNOWN);
		if (reply.status() == UNAVAILABLE || (!reply.isSuccess() && reply.status() < INTERNAL_ERROR)) {
			throw new CodedException(ErrorCode.LOG_UNAVAILABLE,
					peer() + " refused the record with status " + reply.status());
		}
		JsonNode offset = reply.isSuccess() ? this.http.json(reply, peer(), ErrorCode.OUTCOME_UNKNOWN).path("offset")
				: null;
		if (offset == null || !offset.isIntegralNumber()) {
			throw new CodedException(ErrorCode.OUTCOME_UNKNOWN,
					peer() + " responded without an offset, status " + reply.status());
		}
		return offset.asLong();
	}

	private HttpUrl.Builder records() {
		return HttpUrl.get("http://" + this.address + "/streams/config/records").newBuilder();
	}

	private StreamPage page(JsonNode document) {
		List<StreamRecord> records = new ArrayList<>();
		for (JsonNode entry : document.path("records")) {
			records.add(new StreamRecord(entry.path("offset").asLong(), decoded(entry.path("data").asText())));
		}
		return new StreamPage(document.path("head").asLong(), List.copyOf(records));
	}

	private byte[] decoded(String data) {
		try {
			return Base64.getDecoder().decode(data);
		}
		catch (IllegalArgumentException ex) {
			throw new CodedException(ErrorCode.LOG_UNAVAILABLE, peer() + " gave a record that is not base64", ex);
		}
	}

	private String peer() {
		return "log " + this.address;
	}

}
