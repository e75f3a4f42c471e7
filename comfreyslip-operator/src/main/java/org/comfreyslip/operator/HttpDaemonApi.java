package org.comfreyslip.operator;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;
import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Calls to a daemon over HTTP.
 */
final class HttpDaemonApi implements DaemonApi {

	/** Time limit of a call, long enough for a long status on a slow link. */
	private static final int LIMIT_MILLIS = 15_000;

	private static final int UNAUTHORIZED = 401;

	private static final int FORBIDDEN = 403;

	private static final int NOT_FOUND = 404;

	private final HttpTransport http;

	private final String address;

	private final Optional<String> key;

	HttpDaemonApi(HttpTransport http, String address, Optional<String> key) {
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
		return DaemonStatus.from(document(successful(send("GET", "status"))));
	}

	@Override
	public Optional<JsonNode> explain(String request) {
		HttpReply reply = send("GET", "explain", request);
		if (reply.status() == NOT_FOUND) {
			return Optional.empty();
		}
		return Optional.of(document(successful(reply)));
	}

	@Override
	public void drain() {
		successful(send("POST", "drain"));
	}

	private HttpReply send(String method, String... segments) {
		List<HttpHeader> headers = this.key.map((value) -> List.of(new HttpHeader("Authorization", "Bearer " + value)))
			.orElse(List.of());
		HttpCall call = new HttpCall(this.address, method, path(segments), headers, null, LIMIT_MILLIS, LIMIT_MILLIS,
				() -> true);
		try {
			return this.http.send(call).join();
		}
		catch (CompletionException ex) {
			throw failure(ex);
		}
	}

	private CodedException failure(CompletionException ex) {
		boolean reached = !(ex.getCause() instanceof CallFailedException failed) || failed.mayHaveBeenSent();
		return new CodedException(ErrorCode.ENDPOINT_FAILED, peer()
				+ (reached ? " gave no complete response: " : " cannot be reached: ") + ex.getCause().getMessage(), ex);
	}

	private String path(String... segments) {
		HttpUrl.Builder url = HttpUrl.get("http://" + this.address).newBuilder().addPathSegment("admin");
		for (String segment : segments) {
			url.addPathSegment(segment);
		}
		return url.build().encodedPath();
	}

	private HttpReply successful(HttpReply reply) {
		if (reply.status() == UNAUTHORIZED || reply.status() == FORBIDDEN) {
			throw new CodedException(ErrorCode.UNAUTHENTICATED,
					peer() + " refused the operator's key; give one of an [operator] with --key-file");
		}
		if (!reply.isSuccess()) {
			throw new CodedException(ErrorCode.ENDPOINT_FAILED, peer() + " responded with status " + reply.status()
					+ ": " + new String(reply.body(), StandardCharsets.UTF_8));
		}
		return reply;
	}

	private JsonNode document(HttpReply reply) {
		try {
			return JsonCodec.read(reply.body(), JsonNode.class);
		}
		catch (CodedException ex) {
			throw new CodedException(ErrorCode.ENDPOINT_FAILED, peer() + " gave a response that is not JSON", ex);
		}
	}

	private String peer() {
		return "daemon " + this.address;
	}

}
