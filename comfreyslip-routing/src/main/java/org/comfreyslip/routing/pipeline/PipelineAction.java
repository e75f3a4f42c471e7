package org.comfreyslip.routing.pipeline;

import java.util.List;
import java.util.Set;

import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * What a {@link PipelineRun} asks its driver to do.
 */
public sealed interface PipelineAction {

	/**
	 * Sends a step.
	 *
	 * @param engine the engine
	 * @param id the step's identity
	 * @param tokens the token ids of the positions, for the first stage; else empty
	 * @param input the activations, for later stages; else empty
	 */
	record SendStep(String engine, StepId id, List<Integer> tokens, byte[] input) implements PipelineAction {
	}

	/**
	 * Tells an engine to drop the stream, up to an attempt.
	 *
	 * @param engine the engine
	 * @param request the request's id
	 * @param attempt the newest attempt that is to be dropped
	 */
	record CancelStream(String engine, String request, int attempt) implements PipelineAction {
	}

	/**
	 * Asks for engines that take over a layer range.
	 *
	 * @param layers the lost range
	 * @param excluded engines that failed in this run
	 */
	record ChooseReplacement(LayerRange layers, Set<String> excluded) implements PipelineAction {
	}

	/**
	 * Copies a stream's KV cache from one engine to another.
	 *
	 * @param from the engine that exports
	 * @param to the engine that imports
	 * @param request the request's id
	 * @param attempt the attempt that the import belongs to
	 * @param positions the number of positions that the cache has to hold exactly
	 */
	record TransferCache(String from, String to, String request, int attempt, int positions) implements PipelineAction {
	}

	/**
	 * Hands a token to the caller.
	 *
	 * @param index the token's index in the answer, from 0
	 * @param token the token
	 */
	record EmitToken(int index, GeneratedToken token) implements PipelineAction {
	}

	/**
	 * Ends the answer.
	 *
	 * @param reason why it ended
	 */
	record Finish(FinishReason reason) implements PipelineAction {
	}

	/**
	 * Ends the answer with an error.
	 *
	 * @param code the error's code
	 * @param message what was found
	 */
	record Fail(ErrorCode code, String message) implements PipelineAction {
	}

	/**
	 * Records that a stage was lost. The driver feeds the endpoint's health with it.
	 *
	 * @param engine the engine
	 * @param failure how it failed
	 */
	record ReportFailure(String engine, StepFailure failure) implements PipelineAction {
	}

	/**
	 * Records that a run is complete again after the loss of a stage.
	 *
	 * @param cacheImported whether the KV cache was imported; otherwise it was recomputed
	 * @param nanos time since the loss was noticed, in nanoseconds
	 */
	record ReportRecovery(boolean cacheImported, long elapsedNanos) implements PipelineAction {
	}

}
