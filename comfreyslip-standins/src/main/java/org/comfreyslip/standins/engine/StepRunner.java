package org.comfreyslip.standins.engine;

import java.nio.ByteBuffer;

import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.clients.engine.StepToken;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * Runs the reference model for one step.
 */
final class StepRunner {

	private final int modelLayers;

	private final int activationBytes;

	StepRunner(EngineSettings settings) {
		this.modelLayers = settings.modelLayers();
		this.activationBytes = settings.activationBytes();
	}

	// Checks what does not depend on the stream.
	void check(StepRequest step) {
		if (step.stream() == null || step.kind() == null || step.count() < 1 || step.position() < 0) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "stream, kind, position or count is missing");
		}
		if (step.kind().isRebuild() && step.position() != 0) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "a rebuild starts at position 0, not " + step.position());
		}
		if (step.firstLayer() == 0 && (step.tokens() == null || step.tokens().length != step.count())) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the first stage needs one token per position");
		}
		if (step.firstLayer() > 0
				&& (step.input() == null || step.input().length != step.count() * this.activationBytes)) {
			throw new CodedException(ErrorCode.BAD_REQUEST,
					"a later stage needs " + this.activationBytes + " bytes of input per position");
		}
	}

	// Checks that a step continues the stream's KV cache.
	void checkPosition(StepRequest step, LayerRange range, KvState kv) {
		int held = kv.positions(range);
		if (step.kind().isRebuild() || held == step.position()) {
			return;
		}
		if (held < step.position()) {
			throw new CodedException(ErrorCode.KV_MISSING,
					"step starts at position " + step.position() + ", the KV cache holds " + held);
		}
		throw new CodedException(ErrorCode.BAD_REQUEST,
				"position " + step.position() + " was already passed, the KV cache holds " + held);
	}

	// Runs all positions and returns their values after the last layer of the range.
	long[] run(StepRequest step, LayerRange range, KvState streamKv) {
		KvState kv = (step.kind() == StepKind.REBUILD_DISCARD) ? new KvState() : streamKv;
		if (step.kind() == StepKind.REBUILD_KEEP) {
			kv.clear(range);
		}
		long[] values = input(step);
		for (int index = 0; index < values.length; index++) {
			values[index] = kv.pass(range, step.position() + index, values[index]);
		}
		return values;
	}

	byte[] output(StepRequest step, long[] values) {
		if (isLast(step)) {
			return null;
		}
		ByteBuffer buffer = ByteBuffer.allocate(values.length * this.activationBytes);
		for (int index = 0; index < values.length; index++) {
			buffer.putLong(index * this.activationBytes, values[index]);
		}
		return buffer.array();
	}

	StepToken token(StepRequest step, long[] values) {
		if (!isLast(step) || step.kind().isRebuild()) {
			return null;
		}
		int emitted = step.position() + step.count() - step.promptCount() + 1;
		return ReferenceModel.token(values[values.length - 1], emitted);
	}

	private boolean isLast(StepRequest step) {
		return step.endLayer() == this.modelLayers;
	}

	private long[] input(StepRequest step) {
		long[] values = new long[step.count()];
		ByteBuffer buffer = (step.firstLayer() > 0) ? ByteBuffer.wrap(step.input()) : null;
		for (int index = 0; index < values.length; index++) {
			values[index] = (buffer != null) ? buffer.getLong(index * this.activationBytes)
					: ReferenceModel.embed(step.position() + index, step.tokens()[index]);
		}
		return values;
	}

}
