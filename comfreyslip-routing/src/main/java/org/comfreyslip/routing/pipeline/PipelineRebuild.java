package org.comfreyslip.routing.pipeline;

/**
 * Progress of one recomputation: the known tokens pass the stages up to the one whose KV
 * cache was lost. Only that stage keeps the cache.
 */
final class PipelineRebuild {

	private static final byte[] NO_INPUT = {};

	private final int target;

	private final int count;

	private int index;

	private byte[] input = NO_INPUT;

	PipelineRebuild(int target, int count) {
		this.target = target;
		this.count = count;
	}

	int target() {
		return this.target;
	}

	int count() {
		return this.count;
	}

	int index() {
		return this.index;
	}

	byte[] input() {
		return this.input;
	}

	boolean isAtTarget() {
		return this.index == this.target;
	}

	StepKind kind() {
		return isAtTarget() ? StepKind.REBUILD_KEEP : StepKind.REBUILD_DISCARD;
	}

	void advance(byte[] output) {
		this.index++;
		this.input = output;
	}

}
