package org.comfreyslip.operator;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Calls to a daemon over HTTP.
 */
final class HttpDaemonApi implements DaemonApi {

	private static final int UNAUTHORIZED = 401;

	private static final int FORBIDDEN = 403;

	private static final int NOT_FOUND = 404;

	private final HttpJsonClient http;

	private final String address;

	private final Optional<String> key;

	HttpDaemonApi(HttpJsonClient http, String address, Optional<String> key) {
		this.http = http;
		this.address = address;
		this.key = key;
	}

	@Override
	public String address() {
		return this.address;
	}

	@Override
	public DaemonStatus status() {
		HttpReply reply = send(request("status").get().build());
		return DaemonStatus.from(document(successful(reply)));
	}

	@Override
	public Optional<JsonNode> explain(String request) {
		HttpReply reply = send(request("explain", request).get().build());
		if (reply.status() == NOT_FOUND) {
			return Optional.empty();
		}
		return Optional.of(document(successful(reply)));
	}

	@Override
	public void drain() {
		successful(send(request("drain").post(RequestBody.create(new byte[0])).build()));
	}

	private Request.Builder request(String... segments) {
		HttpUrl.Builder url = HttpUrl.get("http://" + this.address).newBuilder().addPathSegment("admin");
		for (String segment : segments) {
			url.addPathSegment(segment);
		}
		Request.Builder request = new Request.Builder().url(url.build());
		this.key.ifPresent((value) -> request.header("Authorization", "Bearer " + value));
		return request;
	}

	private HttpReply send(Request request) {
		return this.http.send(request, peer(), ErrorCode.ENDPOINT_FAILED, ErrorCode.ENDPOINT_FAILED);
	}

	private HttpReply successful(HttpReply reply) {
		if (reply.status() == UNAUTHORIZED || reply.status() == FORBIDDEN) {
			throw new CodedException(ErrorCode.UNAUTHENTICATED,
					peer() + " refused the operator's key; give one of an [operator] with --key-file");
		}
		if (!reply.isSuccess()) {
			throw new CodedException(ErrorCode.ENDPOINT_FAILED, peer() + " responded with status " + reply.status());
		}
		return reply;
	}

	private JsonNode document(HttpReply reply) {
		return this.http.json(reply, peer(), ErrorCode.ENDPOINT_FAILED);
	}

	private String peer() {
		return "daemon " + this.address;
	}

}
