package org.comfreyslip.standins.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpStream;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.clients.service.ServiceCall;
import org.comfreyslip.clients.service.ServiceClient;
import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.standins.Failures;
import org.comfreyslip.standins.FaultMode;
import org.comfreyslip.standins.FaultOrder;
import org.comfreyslip.standins.StandinKind;
import org.comfreyslip.standins.StandinServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a service that hides a doubled call, and against failures that say the
 * opposite of what reached the service.
 */
class ServiceStandinTests {

	private static final int LIMIT_MILLIS = 10_000;

	private static final int SHORT_LIMIT_MILLIS = 200;

	private final HttpTransport http = new HttpTransport();

	private StandinServer server;

	@AfterEach
	void stopServer() {
		this.http.close();
		this.server.close();
	}

	@Test
	void aDoubledCallShowsAsTwoRecordsWithOneKey() throws IOException {
		start();
		assertThat(status(stamp("k1"))).isEqualTo(200);
		assertThat(status(stamp("k1"))).isEqualTo(200);
		assertThat(records()).extracting(StampRecord::key).containsExactly("k1", "k1");
	}

	@Test
	void aStampIsFoundByKeyAndByCertificate() throws IOException {
		start();
		status(stamp("k1"));
		assertThat(this.http.send(HttpCall.get(this.server.address(), "/stamps/by-key/k1"))
			.join()
			.json(StampRecord.class)
			.certificate()).isEqualTo("c1");
		assertThat(this.http.send(HttpCall.get(this.server.address(), "/stamps/c1"))
			.join()
			.json(StampRecords.class)
			.records()).hasSize(1);
		assertThat(this.http.send(HttpCall.get(this.server.address(), "/stamps/by-key/k2")).join().status())
			.isEqualTo(404);
	}

	@Test
	void aStampAfterItsSendByTimeIsRefusedOnlyWhereItIsEnforced() throws IOException {
		start("--enforce-send-by");
		assertThat(status(stamp("k1", new HttpHeader("Send-By-Epoch-Millis", "1")))).isEqualTo(504);
		assertThat(records()).isEmpty();
		this.server.close();
		start();
		assertThat(status(stamp("k1", new HttpHeader("Send-By-Epoch-Millis", "1")))).isEqualTo(200);
	}

	@Test
	void aLostAnswerLeavesARecordAndAFailureThatSaysSent() {
		start();
		this.server.fault(FaultOrder.next(FaultMode.LOST_ANSWER, "POST", 1));
		assertThat(sent(stamp("k1"))).isTrue();
		assertThat(records()).hasSize(1);
	}

	@Test
	void aResetLeavesNoRecordAndAFailureThatSaysSent() {
		start();
		this.server.fault(FaultOrder.next(FaultMode.RESET, "POST", 1));
		assertThat(sent(stamp("k1"))).isTrue();
		assertThat(records()).isEmpty();
	}

	@Test
	void aClosedBoundaryLeavesNoRecordAndAFailureThatSaysNotSent() {
		start();
		CallBoundary boundary = new CallBoundary();
		boundary.closeAsNotRun(ErrorCode.DEADLINE_EXCEEDED, "too late", -1);
		assertThat(sent(client().send(call("k1"), boundary))).isFalse();
		assertThat(records()).isEmpty();
	}

	@Test
	void aServiceThatIsDownAnswersWithARefusalAndRecordsNothing() throws IOException {
		start();
		this.server.fault(FaultOrder.next(FaultMode.DOWN, "POST", 1));
		assertThat(status(stamp("k1"))).isEqualTo(503);
		assertThat(records()).isEmpty();
	}

	@Test
	void aServiceThatHangsFailsTheCallAtItsTimeLimit() {
		start();
		this.server.fault(FaultOrder.next(FaultMode.HANG, "POST", 1));
		ServiceCall call = new ServiceCall("POST", "/stamps", List.of(), new byte[1], SHORT_LIMIT_MILLIS);
		assertThat(sent(client().send(call, new CallBoundary()))).isTrue();
	}

	@Test
	void aCallAboveCapacityAndQueueIsRefusedWhileTheOthersWait() throws IOException {
		start("--capacity", "1", "--queue", "1", "--service-millis", "600000");
		CompletableFuture<HttpStream> first = stamp("k1");
		CompletableFuture<HttpStream> second = stamp("k2");
		CompletableFuture<HttpStream> third = stamp("k3");
		CompletableFuture.anyOf(first, second, third).join();
		List<CompletableFuture<HttpStream>> ended = Stream.of(first, second, third)
			.filter(CompletableFuture::isDone)
			.toList();
		assertThat(ended).hasSize(1);
		assertThat(status(ended.get(0))).isEqualTo(503);
		assertThat(records()).isEmpty();
	}

	private void start(String... arguments) {
		this.server = StandinServer.start(StandinKind.SERVICE, arguments);
	}

	private ServiceClient client() {
		return new ServiceClient(this.http, this.server.address());
	}

	private CompletableFuture<HttpStream> stamp(String key, HttpHeader... headers) {
		return client().send(call(key, headers), new CallBoundary());
	}

	private static ServiceCall call(String key, HttpHeader... headers) {
		List<HttpHeader> all = new ArrayList<>(List.of(headers));
		all.add(new HttpHeader("Idempotency-Key", key));
		all.add(new HttpHeader("Content-Type", "application/json"));
		return new ServiceCall("POST", "/stamps", all, JsonCodec.write(new StampRequest("c1", "i1")), LIMIT_MILLIS);
	}

	private List<StampRecord> records() {
		return this.http.send(HttpCall.get(this.server.address(), "/records"))
			.join()
			.json(StampRecords.class)
			.records();
	}

	private static int status(CompletableFuture<HttpStream> call) throws IOException {
		try (HttpStream reply = call.join()) {
			reply.body().readAllBytes();
			return reply.status();
		}
	}

	private static boolean sent(CompletableFuture<HttpStream> call) {
		return ((CallFailedException) Failures.of(call)).mayHaveBeenSent();
	}

}
