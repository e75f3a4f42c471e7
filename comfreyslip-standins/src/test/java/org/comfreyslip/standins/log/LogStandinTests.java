package org.comfreyslip.standins.log;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.log.LogPage;
import org.comfreyslip.clients.log.LogRecord;
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
 * Guards against appends that are reported as refused although they took effect, and
 * against readers that miss a record.
 */
class LogStandinTests {

	private static final int LIMIT_MILLIS = 10_000;

	private static final int SHORT_LIMIT_MILLIS = 2_000;

	private final HttpTransport http = new HttpTransport();

	private StandinServer server;

	private LogClient log;

	@AfterEach
	void stopServer() {
		this.http.close();
		this.server.close();
	}

	@Test
	void recordsComeBackByOffset() {
		start();
		assertThat(append("a").join()).isZero();
		assertThat(append("b").join()).isEqualTo(1);
		LogPage page = this.log.read("s", 1, 10, 0).join();
		assertThat(page.head()).isZero();
		assertThat(page.tail()).isEqualTo(2);
		assertThat(texts(page)).containsExactly("b");
		assertThat(this.log.read("other", 0, 10, 0).join().tail()).isZero();
	}

	@Test
	void theHeadMovesWhenRecordsAreDropped() {
		start("--retention-count", "2");
		append("a").join();
		append("b").join();
		append("c").join();
		LogPage page = this.log.read("s", 0, 10, 0).join();
		assertThat(page.head()).isEqualTo(1);
		assertThat(texts(page)).containsExactly("b", "c");
	}

	@Test
	void theHeadReachesTheTailWhenAllRecordsAreTooOld() {
		start("--retention-millis", "50");
		append("a").join();
		Awaitility.await().until(() -> this.log.read("s", 0, 10, 0).join().head() == 1);
	}

	@Test
	void aWaitingReaderGetsTheNextRecord() {
		start();
		CompletableFuture<LogPage> waiting = this.log.read("s", 0, 10, 10_000);
		append("a").join();
		assertThat(texts(waiting.join())).containsExactly("a");
	}

	@Test
	void aWaitingReaderGetsAnEmptyPageAtTheEndOfItsWait() {
		start();
		assertThat(this.log.read("s", 0, 10, 20).join().records()).isEmpty();
	}

	@Test
	void anAppendAboveTheRateIsRefusedWithoutAnEffect() {
		start("--appends-per-second", "1");
		long appended = 0;
		CompletableFuture<Long> last = append("a");
		while (!last.handle((offset, ex) -> ex != null).join()) {
			appended++;
			last = append("a");
		}
		assertThat(Failures.of(last).code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
		assertThat(this.log.read("s", 0, 10, 0).join().tail()).isEqualTo(appended);
	}

	@Test
	void anAppendWhoseAnswerIsLostIsUnknownAndInTheLog() {
		start();
		this.server.fault(FaultOrder.next(FaultMode.LOST_ANSWER, "POST", 1));
		assertThat(Failures.of(append("a")).code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
		assertThat(texts(this.log.read("s", 0, 10, 0).join())).containsExactly("a");
	}

	@Test
	void anAppendOnAConnectionThatIsResetIsUnknownAndNotInTheLog() {
		start();
		this.server.fault(FaultOrder.next(FaultMode.RESET, "POST", 1));
		assertThat(Failures.of(append("a")).code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
		assertThat(this.log.read("s", 0, 10, 0).join().tail()).isZero();
	}

	@Test
	void anAppendThatIsNeverAnsweredIsUnknown() {
		start();
		append("a").join();
		this.server.fault(FaultOrder.of(FaultMode.HANG));
		LogClient impatient = new LogClient(this.http, this.server.address(), SHORT_LIMIT_MILLIS);
		assertThat(Failures.of(impatient.append("s", new byte[1])).code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
	}

	@Test
	void anAppendToALogThatIsDownIsRefusedAndSoIsARead() {
		start();
		this.server.fault(FaultOrder.of(FaultMode.DOWN));
		assertThat(Failures.of(append("a")).code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
		assertThat(Failures.of(this.log.read("s", 0, 10, 0)).code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
	}

	@Test
	void anAppendToALogThatIsNotReachedIsRefused() {
		start();
		this.server.stop();
		assertThat(Failures.of(append("a")).code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
		this.server.start();
		Awaitility.await().atMost(Duration.ofSeconds(20)).ignoreExceptions().until(() -> append("a").join() == 0);
	}

	@Test
	void aSlowLogStillAppends() {
		start();
		this.server.fault(FaultOrder.slow(50));
		assertThat(append("a").join()).isZero();
	}

	private void start(String... arguments) {
		this.server = StandinServer.start(StandinKind.LOG, arguments);
		this.log = new LogClient(this.http, this.server.address(), LIMIT_MILLIS);
	}

	private CompletableFuture<Long> append(String text) {
		return this.log.append("s", text.getBytes(StandardCharsets.UTF_8));
	}

	private static List<String> texts(LogPage page) {
		return page.records()
			.stream()
			.map(LogRecord::data)
			.map((data) -> new String(data, StandardCharsets.UTF_8))
			.toList();
	}

}
