package org.comfreyslip.standins.service;

import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;

/**
 * Slots for concurrent calls with a bounded queue.
 */
final class CallSlots {

	private final int maxQueued;

	private final ArrayDeque<CompletableFuture<Void>> queue = new ArrayDeque<>();

	private int free;

	CallSlots(int capacity, int maxQueued) {
		this.free = capacity;
		this.maxQueued = maxQueued;
	}

	// Returns a future that completes with the slot, or {@code null} if the queue is
	// full.
	synchronized CompletableFuture<Void> acquire() {
		if (this.free > 0) {
			this.free--;
			return CompletableFuture.completedFuture(null);
		}
		if (this.queue.size() >= this.maxQueued) {
			return null;
		}
		CompletableFuture<Void> slot = new CompletableFuture<>();
		this.queue.addLast(slot);
		return slot;
	}

	void release() {
		CompletableFuture<Void> next = next();
		if (next != null) {
			next.complete(null);
		}
	}

	private synchronized CompletableFuture<Void> next() {
		CompletableFuture<Void> next = this.queue.pollFirst();
		if (next == null) {
			this.free++;
		}
		return next;
	}

}
