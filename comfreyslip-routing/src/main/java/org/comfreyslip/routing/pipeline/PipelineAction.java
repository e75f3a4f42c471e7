package org.comfreyslip.routing.pipeline;

import java.util.List;
import java.util.Set;

import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * An action that a {@link PipelineRun} asks its driver to perform.
 */
public sealed interface PipelineAction {

	/**
	 * Sends a step to an engine.
	 *
	 * @param engine the engine's name
	 * @param id the step's identity
	 * @param tokens the token ids, one for each position, for the first stage; empty for
	 * later stages
	 * @param input the activations that the previous stage returned; empty for the first
	 * stage
	 */
	record SendStep(String engine, StepId id, List<Integer> tokens, byte[] input) implements PipelineAction {
	}

	/**
	 * Tells an engine to discard the state of a stream for all attempts up to the given
	 * one.
	 *
	 * @param engine the engine's name
	 * @param request the request's id
	 * @param attempt the newest attempt to discard
	 */
	record CancelStream(String engine, String request, int attempt) implements PipelineAction {
	}

	/**
	 * Asks for engines that take over the layers of a stage. The driver replies with
	 * {@link PipelineRun#onReplacementChosen}.
	 *
	 * @param layers the layer range to cover
	 * @param excluded the names of the engines that must not be chosen, because they
	 * failed in this run or are leaving; possibly empty
	 */
	record ChooseReplacement(LayerRange layers, Set<String> excluded) implements PipelineAction {
	}

	/**
	 * Copies a stream's KV cache from one engine to another.
	 *
	 * @param from the name of the engine that exports
	 * @param to the name of the engine that imports
	 * @param request the request's id
	 * @param attempt the attempt that the import belongs to
	 * @param positions the exact number of positions that the cache must hold
	 */
	record TransferCache(String from, String to, String request, int attempt, int positions) implements PipelineAction {
	}

	/**
	 * Delivers a token to the caller.
	 *
	 * @param index the token's index in the response, from 0
	 * @param token the token
	 */
	record EmitToken(int index, GeneratedToken token) implements PipelineAction {
	}

	/**
	 * Completes the response.
	 *
	 * @param reason why it is complete
	 */
	record Finish(FinishReason reason) implements PipelineAction {
	}

	/**
	 * Ends the response with an error.
	 *
	 * @param code the error code
	 * @param message the cause, for the client and the logs
	 */
	record Fail(ErrorCode code, String message) implements PipelineAction {
	}

	/**
	 * Reports that a stage failed, so that the driver records the fault against the
	 * endpoint.
	 *
	 * @param engine the engine's name
	 * @param failure how the stage failed
	 */
	record ReportFailure(String engine, StepFailure failure) implements PipelineAction {
	}

	/**
	 * Reports that the run has resumed after a stage was replaced.
	 *
	 * @param cacheImported {@code true} if the KV cache was imported, {@code false} if it
	 * was recomputed
	 * @param elapsedNanos the time since the loss was detected, in nanoseconds
	 */
	record ReportRecovery(boolean cacheImported, long elapsedNanos) implements PipelineAction {
	}

}
