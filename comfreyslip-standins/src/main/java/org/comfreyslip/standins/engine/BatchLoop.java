package org.comfreyslip.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * The engine's worker: takes the waiting steps as one batch, lets the batch's time pass
 * and runs it.
 */
final class BatchLoop implements Runnable {

	private final EngineCore core;

	private final int maxBatch;

	private final Thread thread;

	BatchLoop(EngineCore core, int maxBatch) {
		this.core = core;
		this.maxBatch = maxBatch;
		this.thread = new Thread(this, "engine-batches");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	void stop() {
		this.thread.interrupt();
	}

	@Override
	public void run() {
		try {
			while (true) {
				runBatch();
			}
		}
		catch (InterruptedException ex) {
			this.thread.interrupt();
		}
	}

	private void runBatch() throws InterruptedException {
		List<EngineStep> batch = new ArrayList<>();
		batch.add(this.core.queue().take());
		this.core.queue().drainTo(batch, this.maxBatch - 1);
		pass(this.core.begin(batch));
		this.core.finish(batch, System.nanoTime()).forEach(Runnable::run);
	}

	private static void pass(long nanos) throws InterruptedException {
		long end = System.nanoTime() + nanos;
		for (long left = nanos; left > 0; left = end - System.nanoTime()) {
			LockSupport.parkNanos(left);
			if (Thread.interrupted()) {
				throw new InterruptedException();
			}
		}
	}

}
