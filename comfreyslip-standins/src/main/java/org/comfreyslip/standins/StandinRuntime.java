package org.comfreyslip.standins;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * What the server offers to its stand-in.
 *
 * @param name name for threads
 * @param timer runs delayed tasks, which must be short
 * @param workers runs the rest
 * @param faults the fault in force
 */
public record StandinRuntime(String name, ScheduledExecutorService timer, ExecutorService workers, FaultSwitch faults) {

	/**
	 * Creates a future that completes after a delay.
	 * @param millis the delay; not positive for at once
	 * @return the future
	 */
	public CompletableFuture<Void> delay(long millis) {
		if (millis <= 0) {
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> future = new CompletableFuture<>();
		this.timer.schedule(() -> future.complete(null), millis, TimeUnit.MILLISECONDS);
		return future;
	}

}
