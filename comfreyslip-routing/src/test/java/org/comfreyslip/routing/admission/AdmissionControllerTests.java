package org.comfreyslip.routing.admission;

import java.util.List;
import java.util.Random;

import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.Priority;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that wait although they cannot meet their deadline,
 * low-priority requests that displace high-priority ones, and one account that uses the
 * whole daemon.
 */
class AdmissionControllerTests {

	private static final long SECOND = 1_000_000_000;

	private final Random random = new Random(2);

	private final AdmissionController controller = new AdmissionController(new AccountShares(),
			new ConcurrencyLimit(100, 100));

	@Test
	void aRequestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
		AccountSpec account = account("a", 10, Priority.NORMAL);
		assertThat(reason(new AdmissionRequest(account, SECOND, 2 * SECOND)))
			.isEqualTo(RefusalReason.WAIT_EXCEEDS_DEADLINE);
		assertThat(reason(new AdmissionRequest(account, 0, 0))).isEqualTo(RefusalReason.DEADLINE_PASSED);
		assertThat(this.controller.openRequestCount()).isZero();
	}

	@Test
	void lowPriorityIsRefusedBeforeNormalAndNormalBeforeHigh() {
		fill(80, Priority.HIGH);
		assertThat(reason(request("low", Priority.LOW))).isEqualTo(RefusalReason.PRIORITY);
		assertThat(this.controller.admit(request("normal", Priority.NORMAL), 0, this.random))
			.isInstanceOf(AdmissionDecision.Admitted.class);
		fill(14, Priority.HIGH);
		assertThat(reason(request("normal", Priority.NORMAL))).isEqualTo(RefusalReason.PRIORITY);
		fill(5, Priority.HIGH);
		assertThat(reason(request("high", Priority.HIGH))).isEqualTo(RefusalReason.CONCURRENCY);
	}

	@Test
	void smallAccountsAreAdmittedWhileALargeOneFloodsTheDaemon() {
		AccountSpec large = account("large", 10_000, Priority.HIGH);
		admitAll(account("small", 10_000, Priority.HIGH), 1);
		int admitted = 0;
		while (this.controller.admit(new AdmissionRequest(large, SECOND, 0), 0,
				this.random) instanceof AdmissionDecision.Admitted) {
			admitted++;
		}
		assertThat(admitted).isEqualTo(69);
		assertThat(reason(new AdmissionRequest(large, SECOND, 0))).isEqualTo(RefusalReason.ABOVE_FAIR_SHARE);
		for (int i = 0; i < 10; i++) {
			assertThat(this.controller.admit(request("small-" + i, Priority.NORMAL), 0, this.random))
				.isInstanceOf(AdmissionDecision.Admitted.class);
		}
	}

	@Test
	void finishedRequestsFreeCapacity() {
		AccountSpec account = account("a", 1, Priority.HIGH);
		AdmissionRequest request = new AdmissionRequest(account, SECOND, 0);
		AdmissionDecision first = this.controller.admit(request, 0, this.random);
		assertThat(reason(request)).isIn(RefusalReason.ACCOUNT_SHARE, RefusalReason.ACCOUNT_TOTAL);
		this.controller.finishRequest((AdmissionDecision.Admitted) first);
		assertThat(this.controller.admit(request, 0, this.random)).isInstanceOf(AdmissionDecision.Admitted.class);
	}

	private void fill(int count, Priority priority) {
		for (int i = 0; i < count; i++) {
			admitAll(account("fill-" + this.controller.openRequestCount(), 10, priority), 1);
		}
	}

	private void admitAll(AccountSpec account, int count) {
		for (int i = 0; i < count; i++) {
			assertThat(this.controller.admit(new AdmissionRequest(account, SECOND, 0), 0, this.random))
				.isInstanceOf(AdmissionDecision.Admitted.class);
		}
	}

	private RefusalReason reason(AdmissionRequest request) {
		return ((AdmissionDecision.Refused) this.controller.admit(request, 0, this.random)).reason();
	}

	private static AdmissionRequest request(String account, Priority priority) {
		return new AdmissionRequest(account(account, 10, priority), SECOND, 0);
	}

	private static AccountSpec account(String name, int maxConcurrent, Priority priority) {
		return new AccountSpec(name, List.of(), maxConcurrent, priority, 1);
	}

}
