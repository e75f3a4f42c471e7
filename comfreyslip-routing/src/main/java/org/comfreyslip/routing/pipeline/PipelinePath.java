package org.comfreyslip.routing.pipeline;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * The stages that a stream runs through and, for each stage, the number of positions of
 * the stream's KV cache that it is known to hold.
 */
final class PipelinePath {

	private final int layerCount;

	private final List<PipelineStage> stages;

	private final List<Integer> cachedPositions = new ArrayList<>();

	private final Set<String> leavingEngines = new HashSet<>();

	PipelinePath(int layerCount, List<PipelineStage> stages) {
		this.layerCount = layerCount;
		this.stages = new ArrayList<>(stages);
		stages.forEach((stage) -> this.cachedPositions.add(0));
		requireExactCoverage();
	}

	int size() {
		return this.stages.size();
	}

	PipelineStage stage(int index) {
		return this.stages.get(index);
	}

	List<PipelineStage> stages() {
		return List.copyOf(this.stages);
	}

	boolean isLast(int index) {
		return index == this.stages.size() - 1;
	}

	void markLeaving(String engine) {
		this.leavingEngines.add(engine);
	}

	boolean isLeaving(int index) {
		return this.leavingEngines.contains(this.stages.get(index).engine());
	}

	void clearLeaving(int index) {
		this.leavingEngines.remove(this.stages.get(index).engine());
	}

	void setCachedPositions(int index, int positions) {
		this.cachedPositions.set(index, positions);
	}

	void clearCachedPositions(int index) {
		this.cachedPositions.set(index, 0);
	}

	/**
	 * Finds the first stage whose KV cache holds fewer positions than the run requires.
	 * @param currentStage the stage whose step is due
	 * @param position the position of the step that is due
	 * @param positionCount the number of positions of that step
	 * @return the stage's index, or -1 if every stage holds enough
	 */
	int firstIncompleteStage(int currentStage, int position, int positionCount) {
		for (int i = 0; i < this.stages.size(); i++) {
			if (this.cachedPositions.get(i) < requiredPositions(i, currentStage, position, positionCount)) {
				return i;
			}
		}
		return -1;
	}

	/**
	 * Returns how many positions the KV cache of a stage must hold. Stages before the
	 * current one have already run the positions of the step that is due.
	 * @param index the stage's index
	 * @param currentStage the stage whose step is due
	 * @param position the position of the step that is due
	 * @param positionCount the number of positions of that step
	 * @return the number of positions, from 0
	 */
	int requiredPositions(int index, int currentStage, int position, int positionCount) {
		return (index < currentStage) ? position + positionCount : position;
	}

	/**
	 * Replaces a stage by one or more stages that cover the same layers.
	 * @param index the stage's index
	 * @param replacement the new stages in layer order, at least one
	 * @return the number of new stages
	 */
	int replace(int index, List<PipelineStage> replacement) {
		this.stages.remove(index);
		this.cachedPositions.remove(index);
		this.stages.addAll(index, replacement);
		for (int i = 0; i < replacement.size(); i++) {
			this.cachedPositions.add(index + i, 0);
		}
		requireExactCoverage();
		return replacement.size();
	}

	private void requireExactCoverage() {
		int next = 0;
		for (PipelineStage stage : this.stages) {
			LayerRange range = stage.layers();
			if (range.first() != next) {
				throw coverageError();
			}
			next = range.end();
		}
		if (next != this.layerCount) {
			throw coverageError();
		}
	}

	private CodedException coverageError() {
		return new CodedException(ErrorCode.INVARIANT_VIOLATED,
				"stages " + this.stages + " do not cover layers 0-" + this.layerCount + " exactly");
	}

}
