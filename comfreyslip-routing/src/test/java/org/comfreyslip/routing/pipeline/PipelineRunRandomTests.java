package org.comfreyslip.routing.pipeline;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.lifecycle.AfterContainer;
import org.comfreyslip.routing.pipeline.PipelineAction.CancelStream;
import org.comfreyslip.routing.pipeline.PipelineAction.ChooseReplacement;
import org.comfreyslip.routing.pipeline.PipelineAction.EmitToken;
import org.comfreyslip.routing.pipeline.PipelineAction.Fail;
import org.comfreyslip.routing.pipeline.PipelineAction.Finish;
import org.comfreyslip.routing.pipeline.PipelineAction.SendStep;
import org.comfreyslip.routing.pipeline.PipelineAction.TransferCache;
import org.comfreyslip.routing.topology.LayerRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Randomised runs with lost stages, late and duplicate step results, lost caches and
 * leaving engines. Guards against responses with missing, repeated or reordered layer
 * passes.
 * <p>
 * Long run:
 * {@code mvn test -pl comfreyslip-routing -am -Dtest.excludedGroups= -Dgroups=long}
 */
class PipelineRunRandomTests {

	private static final int LAYERS = 12;

	private static final int RESPONSE_TOKENS = 12;

	private static final int MAX_EVENTS = 5_000;

	private static final long SECOND = 1_000_000_000L;

	private enum Fault {

		DIES, HANGS, LATE_ANSWER, DOUBLED_ANSWER, CACHE_LOST, LEAVES, NO_REPLACEMENT, IMPORTED

	}

	private static final Map<Fault, Integer> EXERCISED = new EnumMap<>(Fault.class);

	@AfterContainer
	static void printFaults() {
		System.out.println("PipelineRun faults exercised: " + EXERCISED);
	}

	@Property(tries = 300, seed = "20261203")
	void everyResponseEqualsTheReferenceWhicheverStagesFail(@ForAll long seed) {
		new Scenario(seed).run();
	}

	/** With seed 72527, two rebuilds of one attempt used the same step identity. */
	@Example
	void noStepIdentityIsUsedTwiceWhenSeveralStagesAreRebuilt() {
		new Scenario(72527).run();
	}

	@Tag("long")
	@Property(tries = 50_000, seed = "7")
	void everyResponseEqualsTheReferenceInALongRun(@ForAll long seed) {
		new Scenario(seed).run();
	}

	/**
	 * One response with faults drawn from a seed.
	 */
	private static final class Scenario {

		private final RandomGenerator random;

		private final FakeEngines engines = new FakeEngines(LAYERS);

		private final List<Integer> prompt = new ArrayList<>();

		private final List<Integer> responseTokens = new ArrayList<>();

		private final List<PipelineAction> pending = new ArrayList<>();

		private final List<LateResult> lateResults = new ArrayList<>();

		private final Set<StepId> identities = new HashSet<>();

		private final PipelineRun run;

		private long now;

		private int replicas;

		private boolean finished;

		private String failure;

		Scenario(long seed) {
			this.random = new java.util.Random(seed);
			for (int i = 0; i <= this.random.nextInt(6); i++) {
				this.prompt.add(this.random.nextInt(1000));
			}
			List<PipelineStage> stages = split(new LayerRange(0, LAYERS));
			PipelineLimits limits = new PipelineLimits(RESPONSE_TOKENS, 10_000 * SECOND, SECOND, SECOND / 100, SECOND,
					30 * SECOND, 1_000);
			this.run = new PipelineRun("r", LAYERS, stages, this.prompt, limits);
		}

		void run() {
			this.pending.addAll(this.run.start(this.now));
			for (int i = 0; i < MAX_EVENTS && !this.run.isDone(); i++) {
				step();
			}
			this.pending.forEach(this::finish);
			assertThat(this.failure).as("failure").isNull();
			assertThat(this.finished).as("finished").isTrue();
			assertThat(this.responseTokens)
				.isEqualTo(FakeEngines.expectedResponse(LAYERS, this.prompt, RESPONSE_TOKENS));
			assertThat(this.run.onTimer(Long.MAX_VALUE)).as("actions after the end").isEmpty();
		}

		private void step() {
			this.now += this.random.nextLong(SECOND / 100);
			if (!this.lateResults.isEmpty() && this.random.nextInt(4) == 0) {
				deliverLateResult();
			}
			if (this.pending.isEmpty()) {
				this.now = Math.max(this.now, this.run.nextTimerNanos());
				this.pending.addAll(this.run.onTimer(this.now));
				return;
			}
			perform(this.pending.remove(0));
		}

		private void perform(PipelineAction action) {
			if (action instanceof SendStep send) {
				perform(send);
			}
			else if (action instanceof ChooseReplacement choose) {
				chooseReplacement(choose);
			}
			else if (action instanceof TransferCache transfer) {
				boolean success = this.random.nextBoolean()
						&& this.engines.transfer(transfer.from(), transfer.to(), transfer.positions());
				if (success) {
					count(Fault.IMPORTED);
				}
				this.pending.addAll(this.run.onCacheTransferEnded(transfer.attempt(), success, this.now));
			}
			else {
				finish(action);
			}
		}

		private void finish(PipelineAction action) {
			if (action instanceof EmitToken emit) {
				assertThat(emit.index()).isEqualTo(this.responseTokens.size());
				this.responseTokens.add(emit.token().id());
			}
			else if (action instanceof Finish) {
				this.finished = true;
			}
			else if (action instanceof Fail fail) {
				this.failure = fail.toString();
			}
			else {
				assertThat(action).isInstanceOfAny(CancelStream.class, PipelineAction.ReportFailure.class,
						PipelineAction.ReportRecovery.class);
			}
		}

		private void perform(SendStep send) {
			assertThat(this.identities.add(send.id())).as("new identity " + send.id()).isTrue();
			int draw = this.random.nextInt(40);
			if (draw == 0) {
				count(Fault.DIES);
				this.engines.loseCache(send.engine());
				this.pending.addAll(this.run.onStepFailure(send.id(), StepFailure.UNREACHABLE, this.now));
				return;
			}
			if (draw == 1) {
				count(Fault.CACHE_LOST);
				this.engines.loseCache(send.engine());
				this.pending.addAll(this.run.onStepFailure(send.id(), StepFailure.KV_LOST, this.now));
				return;
			}
			if (draw == 2) {
				count(Fault.HANGS);
				if (this.random.nextBoolean()) {
					this.lateResults.add(new LateResult(send.id(), this.engines.run(send)));
				}
				return;
			}
			if (draw == 3) {
				count(Fault.LEAVES);
				this.run.onEngineLeaving(send.engine());
			}
			StepResult result = this.engines.run(send);
			if (draw == 4) {
				count(Fault.DOUBLED_ANSWER);
				this.lateResults.add(new LateResult(send.id(), result));
			}
			this.pending.addAll(this.run.onStepResult(send.id(), result, this.now));
		}

		private void deliverLateResult() {
			count(Fault.LATE_ANSWER);
			LateResult lateResult = this.lateResults.remove(this.random.nextInt(this.lateResults.size()));
			this.pending.addAll(this.run.onStepResult(lateResult.id(), lateResult.result(), this.now));
		}

		private void chooseReplacement(ChooseReplacement choose) {
			if (this.random.nextInt(5) == 0) {
				count(Fault.NO_REPLACEMENT);
				this.pending.addAll(this.run.onReplacementChosen(List.of(), this.now));
				return;
			}
			List<PipelineStage> stages = (this.random.nextInt(3) == 0) ? split(choose.layers())
					: List.of(new PipelineStage(newEngine(), choose.layers()));
			this.pending.addAll(this.run.onReplacementChosen(stages, this.now));
		}

		private List<PipelineStage> split(LayerRange range) {
			List<PipelineStage> stages = new ArrayList<>();
			int first = range.first();
			while (first < range.end()) {
				int end = first + 1 + this.random.nextInt(range.end() - first);
				stages.add(new PipelineStage(newEngine(), new LayerRange(first, end)));
				first = end;
			}
			return stages;
		}

		private String newEngine() {
			return "e" + this.replicas++;
		}

		private static void count(Fault fault) {
			EXERCISED.merge(fault, 1, Integer::sum);
		}

	}

	private record LateResult(StepId id, StepResult result) {
	}

}
