package org.comfreyslip.daemon.peer;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates named daemon threads, which do not keep the process alive.
 */
final class PeerThreads implements ThreadFactory {

	private final String name;

	private final AtomicInteger number = new AtomicInteger();

	PeerThreads(String name) {
		this.name = name;
	}

	@Override
	public Thread newThread(Runnable task) {
		Thread thread = new Thread(task, this.name + "-" + this.number.incrementAndGet());
		thread.setDaemon(true);
		return thread;
	}

}
