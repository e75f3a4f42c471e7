package org.comfreyslip.routing.admission;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.Priority;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more open requests than the stated bounds allow, retry storms, refused
 * callers that all retry at once, and a concurrency limit that does not follow latency.
 */
class LimitsTests {

	private static final long SECOND = 1_000_000_000;

	@Property(tries = 500, seed = "31")
	void allDaemonsTogetherStayWithinTheOverGrantBound(@ForAll @IntRange(min = 1, max = 5_000) int limit,
			@ForAll @IntRange(min = 1, max = 400) int daemons) {
		AccountShares shares = new AccountShares();
		shares.setLiveDaemons(daemons);
		AccountSpec account = account(limit);
		int granted = 0;
		while (shares.findRefusal(account).isEmpty()) {
			shares.openRequest(account);
			granted++;
		}
		assertThat((double) granted * daemons).isLessThanOrEqualTo(limit * 1.25 + daemons);
	}

	@Test
	void reportedUsageOfPeersStopsGrantsAndAnOldReportExpires() {
		AccountShares shares = new AccountShares();
		shares.setLiveDaemons(10);
		AccountSpec account = account(100);
		shares.onPeerUsageReport("p", account.name(), 100, 0);
		assertThat(shares.findRefusal(account)).contains(RefusalReason.ACCOUNT_TOTAL);
		shares.onPeerUsageReport("p", account.name(), 99, 0);
		assertThat(shares.findRefusal(account)).isEmpty();
		shares.onPeerUsageReport("p", account.name(), 100, 0);
		shares.removeExpiredReports(11 * SECOND);
		assertThat(shares.findRefusal(account)).isEmpty();
	}

	@Property(tries = 300, seed = "32")
	void retriesNeverExceedATenthOfTheRequests(@ForAll @Size(max = 500) List<Boolean> events) {
		RetryBudget budget = new RetryBudget();
		int requests = 0;
		for (boolean isRequest : events) {
			if (isRequest) {
				budget.recordRequest();
				requests++;
			}
			else {
				budget.tryAcquireRetry();
			}
			assertThat(budget.grantedRetryCount() * 10).isLessThanOrEqualTo(requests);
		}
	}

	@Test
	void savedRetriesAreLimitedAfterALongQuietTime() {
		RetryBudget budget = new RetryBudget();
		for (int i = 0; i < 10_000; i++) {
			budget.recordRequest();
		}
		int granted = 0;
		while (budget.tryAcquireRetry()) {
			granted++;
		}
		assertThat(granted).isEqualTo(RetryBudget.MAX_SAVED_RETRIES);
	}

	@Test
	void retriesOfRefusedCallersAreSpreadOverTheDrainTime() {
		Random random = new Random(4);
		long[] buckets = new long[10];
		for (int i = 0; i < 10_000; i++) {
			long millis = RetryAfter.millis(10 * SECOND, random);
			assertThat(millis).isBetween(10_000L, 20_000L);
			buckets[(int) Math.min(9, (millis - 10_000) / 1_000)]++;
		}
		assertThat(LongStream.of(buckets).boxed()).allMatch((count) -> count > 800 && count < 1_200);
		assertThat(RetryAfter.millis(0, random)).isBetween(1_000L, 2_000L);
		assertThat(RetryAfter.millis(Long.MAX_VALUE, random)).isBetween(60_000L, 120_000L);
	}

	@Test
	void theLimitFallsWhenLatencyRisesAndRecovers() {
		ConcurrencyLimit limit = new ConcurrencyLimit(100, 200);
		sample(limit, 100, 10);
		int steady = limit.limit();
		sample(limit, 100, 100);
		int overloaded = limit.limit();
		assertThat(overloaded).isLessThan(steady / 2);
		sample(limit, 400, 10);
		assertThat(limit.limit()).isGreaterThan(steady * 3 / 4);
	}

	@Test
	void theLimitDoesNotRiseWhileItIsNotUsed() {
		ConcurrencyLimit limit = new ConcurrencyLimit(100, 1_000);
		for (int i = 0; i < 1_000; i++) {
			limit.recordLatency(10, 3);
		}
		assertThat(limit.limit()).isEqualTo(100);
	}

	private static void sample(ConcurrencyLimit limit, int count, long latency) {
		for (int i = 0; i < count; i++) {
			limit.recordLatency(latency, limit.limit());
		}
	}

	private static AccountSpec account(int limit) {
		return new AccountSpec("a", List.of(), limit, Priority.NORMAL, 1);
	}

}
