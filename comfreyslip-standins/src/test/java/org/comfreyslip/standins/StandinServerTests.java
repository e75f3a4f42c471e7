package org.comfreyslip.standins;

import java.util.List;

import org.awaitility.Awaitility;
import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.hosts.HostEntry;
import org.comfreyslip.clients.hosts.HostList;
import org.comfreyslip.clients.hosts.HostListClient;
import org.comfreyslip.clients.hosts.HostState;
import org.comfreyslip.clients.weights.RateLease;
import org.comfreyslip.clients.weights.WeightStoreClient;
import org.comfreyslip.coordination.ErrorCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against faults that touch other requests than they should, and against host list
 * and weight store answers that differ from their contract.
 */
class StandinServerTests {

	private static final int LIMIT_MILLIS = 10_000;

	private static final int SHORT_LIMIT_MILLIS = 2_000;

	private final HttpTransport http = new HttpTransport();

	private StandinServer server;

	@AfterEach
	void stopServer() {
		this.http.close();
		if (this.server != null) {
			this.server.close();
		}
	}

	@Test
	void aSilentConnectionNeverAnswersAgainWhileANewOneDoes() {
		HostListClient hosts = hosts("--hosts", "127.0.0.1:1");
		hosts.hosts().join();
		this.server.fault(FaultOrder.of(FaultMode.SILENT));
		CallFailedException failure = (CallFailedException) Failures.of(impatient().hosts());
		assertThat(failure.mayHaveBeenSent()).isTrue();
		this.http.evictIdle(this.server.address());
		assertThat(hosts.hosts().join().hosts()).hasSize(1);
	}

	@Test
	void aSilentConnectionStaysSilentAfterTheFaultIsTakenAway() {
		try (HttpTransport other = new HttpTransport()) {
			HostListClient hosts = hosts();
			hosts.hosts().join();
			this.server.fault(FaultOrder.of(FaultMode.SILENT));
			other.send(HttpCall.post(this.server.address(), "/faults", FaultOrder.of(FaultMode.NONE))).join();
			assertThat(Failures.of(impatient().hosts()).code()).isEqualTo(ErrorCode.ENDPOINT_FAILED);
		}
	}

	@Test
	void aFaultIsSwitchedOnAndOffOverHttp() {
		HostListClient hosts = hosts();
		order(FaultOrder.of(FaultMode.DOWN));
		assertThat(Failures.of(hosts.hosts()).code()).isEqualTo(ErrorCode.OVERLOADED);
		order(FaultOrder.of(FaultMode.NONE));
		assertThat(hosts.hosts().join().hosts()).isEmpty();
	}

	@Test
	void aFaultEndsAfterItsTime() {
		HostListClient hosts = hosts();
		order(new FaultOrder(FaultMode.DOWN, 100, 0, 0, null, 0));
		Awaitility.await().ignoreExceptions().until(() -> hosts.hosts().join().hosts().isEmpty());
	}

	@Test
	void aChangeOfTheHostListIsShownAfterItsLag() {
		HostListClient hosts = hosts("--hosts", "127.0.0.1:1,127.0.0.1:2", "--lag-millis", "50");
		HostList next = new HostList(List.of(new HostEntry("127.0.0.1:1", HostState.LEAVING)));
		HttpCall post = HttpCall.post(this.server.address(), "/hosts", next);
		this.http
			.send(new HttpCall(post.address(), "PUT", post.path(), post.headers(), post.body(), 0, 0, post.boundary()))
			.join()
			.requireSuccess();
		Awaitility.await().until(() -> hosts.hosts().join().equals(next));
	}

	@Test
	void theHostListWritesStatesInLowerCase() {
		hosts("--hosts", "127.0.0.1:1");
		HttpReply reply = this.http.send(HttpCall.get(this.server.address(), "/hosts")).join();
		assertThat(new String(reply.body()))
			.isEqualTo("{\"hosts\":[{\"address\":\"127.0.0.1:1\",\"state\":\"live\"}]}");
	}

	@Test
	void aFetchAboveTheRateIsNotGrantedAndSaysWhenToAskAgain() {
		this.server = StandinServer.start(StandinKind.WEIGHTS, "--kilobytes-per-second", "1");
		WeightStoreClient weights = new WeightStoreClient(this.http, this.server.address(), LIMIT_MILLIS);
		assertThat(weights.lease("d1", 100_000).join().granted()).isTrue();
		RateLease second = weights.lease("d2", 100_000).join();
		assertThat(second.granted()).isFalse();
		assertThat(second.retryAfterMillis()).isGreaterThan(90_000);
	}

	@Test
	void anUnknownOptionIsReportedByName() {
		assertThatIllegalArgumentException().isThrownBy(() -> StandinServer.start(StandinKind.LOG, "--colour", "red"))
			.withMessageContaining("--colour");
	}

	private HostListClient hosts(String... arguments) {
		this.server = StandinServer.start(StandinKind.HOSTS, arguments);
		return new HostListClient(this.http, this.server.address(), LIMIT_MILLIS);
	}

	private HostListClient impatient() {
		return new HostListClient(this.http, this.server.address(), SHORT_LIMIT_MILLIS);
	}

	private void order(FaultOrder order) {
		this.http.send(HttpCall.post(this.server.address(), "/faults", order)).join().requireSuccess();
	}

}
