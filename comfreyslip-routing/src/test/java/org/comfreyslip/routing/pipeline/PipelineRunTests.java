package org.comfreyslip.routing.pipeline;

import java.util.List;
import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.pipeline.PipelineAction.CancelStream;
import org.comfreyslip.routing.pipeline.PipelineAction.Fail;
import org.comfreyslip.routing.pipeline.PipelineAction.SendStep;
import org.comfreyslip.routing.topology.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against runs that end wrongly: streams that stay on the engines after the run
 * was cancelled, a missed deadline, late step results, and stages with a gap.
 */
class PipelineRunTests {

	private static final long DEADLINE = 1_000;

	private static final PipelineLimits LIMITS = new PipelineLimits(10, DEADLINE, 100, 10, 100, 500, 3);

	private final PipelineRun run = new PipelineRun("r", 4,
			List.of(new PipelineStage("a", new LayerRange(0, 2)), new PipelineStage("b", new LayerRange(2, 4))),
			List.of(1, 2, 3), LIMITS);

	@Test
	void aRunThatWasCancelledBeforeItsStartSendsNothing() {
		this.run.cancel();
		assertThat(this.run.start(0)).isEmpty();
		assertThat(this.run.isDone()).isTrue();
	}

	@Test
	void aCancelledRunReleasesTheStreamOnEveryEngine() {
		this.run.start(0);
		assertThat(this.run.cancel()).containsExactly(new CancelStream("a", "r", 1), new CancelStream("b", "r", 1));
		assertThat(this.run.cancel()).isEmpty();
	}

	@Test
	void theDeadlineEndsTheResponseWithAnError() {
		this.run.start(0);
		assertThat(this.run.onTimer(DEADLINE))
			.anyMatch((action) -> action instanceof Fail fail && fail.code() == ErrorCode.DEADLINE_EXCEEDED);
	}

	@Test
	void aStepResultThatArrivesAfterTheEndIsDropped() {
		SendStep step = (SendStep) this.run.start(0).get(0);
		this.run.cancel();
		StepResult result = new StepResult(new byte[8], Optional.empty());
		assertThat(this.run.onStepResult(step.id(), result, 1)).isEmpty();
		assertThat(this.run.droppedResultCount()).isOne();
	}

	@Test
	void stagesThatSkipALayerAreRejected() {
		List<PipelineStage> gap = List.of(new PipelineStage("a", new LayerRange(0, 2)),
				new PipelineStage("b", new LayerRange(3, 4)));
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> new PipelineRun("r", 4, gap, List.of(1), LIMITS))
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

}
