package org.comfreyslip.daemon.claim;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpStream;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.service.ServiceCall;
import org.comfreyslip.clients.service.ServiceClient;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.RecordedResponse;
import org.comfreyslip.coordination.digest.Sha256;
import org.comfreyslip.routing.topology.EndpointSpec;
import org.comfreyslip.routing.topology.ServiceSpec;

/**
 * Sends protected calls and key look-ups to plain services. The response is read whole,
 * so that it can be recorded.
 */
final class ServiceCalls {

	/**
	 * Header with the wall-clock time, in ms since the epoch, after which a service must
	 * not execute the call any more.
	 */
	static final String SEND_BY_HEADER = "Send-By-Epoch-Millis";

	private static final String KEY_HEADER = "Idempotency-Key";

	private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

	private static final int NOT_FOUND_STATUS = 404;

	private static final int FIRST_ERROR_STATUS = 400;

	private final HttpTransport http;

	ServiceCalls(HttpTransport http) {
		this.http = http;
	}

	CompletableFuture<RecordedResponse> send(EndpointSpec endpoint, ClaimKey key, ServiceCall call,
			long sendByEpochMillis, BooleanSupplier tryStartSending) {
		List<HttpHeader> headers = new ArrayList<>(call.headers());
		headers.add(new HttpHeader(KEY_HEADER, scopedKey(key)));
		headers.add(new HttpHeader(SEND_BY_HEADER, Long.toString(sendByEpochMillis)));
		ServiceCall callWithKey = new ServiceCall(call.method(), call.path(), headers, call.body(), call.readMillis());
		return new ServiceClient(this.http, endpoint.address()).send(callWithKey, tryStartSending)
			.thenApply(ServiceCalls::toRecordedResponse);
	}

	CompletableFuture<Optional<RecordedResponse>> lookUp(EndpointSpec endpoint, ServiceSpec service, ClaimKey key) {
		String path = service.lookup()
			.orElseThrow()
			.replace("{key}", URLEncoder.encode(scopedKey(key), StandardCharsets.UTF_8));
		ServiceCall call = new ServiceCall("GET", path, List.of(), null, (int) service.timeoutMillis());
		return new ServiceClient(this.http, endpoint.address()).send(call, () -> true).thenApply((stream) -> {
			RecordedResponse response = toRecordedResponse(stream);
			if (response.status() == NOT_FOUND_STATUS) {
				return Optional.empty();
			}
			if (response.status() >= FIRST_ERROR_STATUS) {
				throw new CodedException(ErrorCode.ENDPOINT_FAILED,
						"look-up responded with status " + response.status());
			}
			return Optional.of(response);
		});
	}

	/**
	 * Returns the key that services receive. It is prefixed with the client account, so
	 * that no account can look up the result of another one by using its key.
	 * @param key the claimed key
	 * @return the account and the client's key, separated by a dot
	 */
	static String scopedKey(ClaimKey key) {
		return key.account() + "." + key.key();
	}

	private static RecordedResponse toRecordedResponse(HttpStream stream) {
		try (stream) {
			byte[] body = readBounded(stream.body());
			String type = stream.headers()
				.stream()
				.filter((header) -> header.name().equalsIgnoreCase("Content-Type"))
				.map(HttpHeader::value)
				.findFirst()
				.orElse("");
			boolean bodyRecorded = body.length <= RecordedResponse.MAX_BODY_BYTES;
			String base64 = bodyRecorded ? Base64.getEncoder().encodeToString(body) : "";
			return new RecordedResponse(stream.status(), type, Sha256.ofBytes(body), base64, bodyRecorded);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static byte[] readBounded(InputStream body) throws IOException {
		byte[] bytes = body.readNBytes(MAX_RESPONSE_BYTES + 1);
		if (bytes.length > MAX_RESPONSE_BYTES) {
			throw new IOException("the response of a protected call exceeds " + MAX_RESPONSE_BYTES + " bytes");
		}
		return bytes;
	}

}
