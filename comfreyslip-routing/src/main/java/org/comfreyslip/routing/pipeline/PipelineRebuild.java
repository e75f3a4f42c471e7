package org.comfreyslip.routing.pipeline;

/**
 * Progress of one recomputation: the known tokens pass the stages up to the one whose KV
 * cache was lost. Only that stage keeps the cache.
 */
final class PipelineRebuild {

	private static final byte[] NO_INPUT = {};

	private final int targetStage;

	private final int positionCount;

	private int currentStage;

	private byte[] input = NO_INPUT;

	PipelineRebuild(int target, int count) {
		this.targetStage = target;
		this.positionCount = count;
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
