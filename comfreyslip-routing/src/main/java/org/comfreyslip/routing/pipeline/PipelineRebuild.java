package org.comfreyslip.routing.pipeline;

/**
 * Progress of the recomputation of one stage's KV cache: all known tokens run through the
 * stages from the first up to the target stage, whose KV cache was lost. Only the target
 * stage keeps the resulting cache.
 */
final class PipelineRebuild {

	private static final byte[] NO_INPUT = {};

	private final int targetStage;

	private final int positionCount;

	private int currentStage;

	private byte[] input = NO_INPUT;

	PipelineRebuild(int targetStage, int positionCount) {
		this.targetStage = targetStage;
		this.positionCount = positionCount;
	}

	int targetStage() {
		return this.targetStage;
	}

	int positionCount() {
		return this.positionCount;
	}

	int currentStage() {
		return this.currentStage;
	}

	byte[] input() {
		return this.input;
	}

	boolean isAtTarget() {
		return this.currentStage == this.targetStage;
	}

	StepKind stepKind() {
		return isAtTarget() ? StepKind.REBUILD_KEEP : StepKind.REBUILD_DISCARD;
	}

	void advanceToNextStage(byte[] output) {
		this.currentStage++;
		this.input = output;
	}

}
