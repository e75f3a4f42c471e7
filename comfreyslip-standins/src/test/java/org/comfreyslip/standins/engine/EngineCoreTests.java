package org.comfreyslip.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.clients.engine.BlockHash;
import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.Priority;
import org.comfreyslip.standins.Failures;
import org.comfreyslip.standins.StandinArguments;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against batches that ignore priorities, against time spent on ended streams, and
 * against KV memory that abandoned streams keep for ever.
 */
class EngineCoreTests {

	@Test
	void stepsWaitByPriorityAndThenByArrival() {
		EngineCore core = core();
		core.accept(prompt("low", Priority.LOW, 4));
		core.accept(prompt("first", Priority.NORMAL, 4));
		core.accept(prompt("second", Priority.NORMAL, 4));
		core.accept(prompt("high", Priority.HIGH, 4));
		assertThat(take(core)).extracting((step) -> step.request().stream())
			.containsExactly("high", "first", "second", "low");
	}

	@Test
	void aCancelledStepTakesNoTimeAndIsRefused() {
		EngineCore core = core("--layer-micros", "100", "--prefill-micros", "5");
		CompletableFuture<StepReply> cancelled = core.accept(prompt("a", Priority.NORMAL, 4));
		core.accept(prompt("b", Priority.NORMAL, 4));
		core.cancel("a", 1);
		List<EngineStep> batch = take(core);
		assertThat(core.begin(batch)).isEqualTo(TimeUnit.MICROSECONDS.toNanos(8 * 100 + 4 * 5));
		core.finish(batch, 0).forEach(Runnable::run);
		assertThat(Failures.of(cancelled).code()).isEqualTo(ErrorCode.STALE_ATTEMPT);
	}

	@Test
	void aPromptInThePrefixCacheTakesLessTime() {
		EngineCore core = core("--layer-micros", "0", "--prefill-micros", "5");
		int count = BlockHash.BLOCK_TOKENS + 2;
		core.accept(prompt("a", Priority.NORMAL, count));
		assertThat(run(core, 0)).isEqualTo(TimeUnit.MICROSECONDS.toNanos(count * 5L));
		core.accept(prompt("b", Priority.NORMAL, count));
		assertThat(run(core, 0)).isEqualTo(TimeUnit.MICROSECONDS.toNanos(2 * 5L));
	}

	@Test
	void theMemoryOfAnAbandonedStreamIsUsedAgainOnlyAfterItsIdleTime() {
		EngineCore core = core("--kv-positions", "10", "--stream-idle-millis", "1000");
		core.accept(prompt("abandoned", Priority.NORMAL, 8));
		run(core, 0);
		CompletableFuture<StepReply> early = core.accept(prompt("b", Priority.NORMAL, 8));
		run(core, TimeUnit.MILLISECONDS.toNanos(999));
		assertThat(Failures.of(early).code()).isEqualTo(ErrorCode.OVERLOADED);
		CompletableFuture<StepReply> late = core.accept(prompt("b", Priority.NORMAL, 8));
		run(core, TimeUnit.MILLISECONDS.toNanos(1000));
		assertThat(late.join().token()).isNotNull();
	}

	@Test
	void aLoadReportIsReusedForItsLag() {
		EngineCore core = core("--load-lag-millis", "100");
		assertThat(core.load(0).queued()).isZero();
		core.accept(prompt("a", Priority.NORMAL, 4));
		assertThat(core.load(TimeUnit.MILLISECONDS.toNanos(99)).queued()).isZero();
		assertThat(core.load(TimeUnit.MILLISECONDS.toNanos(100)).queued()).isEqualTo(1);
	}

	@Test
	void aCacheEventIsOfferedAfterItsLag() {
		EngineCore core = core("--cache-event-lag-millis", "100");
		core.accept(prompt("a", Priority.NORMAL, BlockHash.BLOCK_TOKENS));
		run(core, 0);
		assertThat(core.cacheEvents(0, TimeUnit.MILLISECONDS.toNanos(99)).events()).isEmpty();
		assertThat(core.cacheEvents(0, TimeUnit.MILLISECONDS.toNanos(100)).events()).hasSize(1);
	}

	private static EngineCore core(String... arguments) {
		return new EngineCore(EngineSettings.of(StandinArguments.parse(EngineSettings.options(), arguments)),
				() -> false);
	}

	private static StepRequest prompt(String stream, Priority priority, int count) {
		return new StepRequest(stream, 1, "reference", "1", 0, count, 0, 8, new int[count], null, StepKind.PREFILL,
				priority, 1_000, count);
	}

	private static List<EngineStep> take(EngineCore core) {
		List<EngineStep> batch = new ArrayList<>();
		core.queue().drainTo(batch);
		return batch;
	}

	private static long run(EngineCore core, long nowNanos) {
		List<EngineStep> batch = take(core);
		long nanos = core.begin(batch);
		core.finish(batch, nowNanos).forEach(Runnable::run);
		return nanos;
	}

}
