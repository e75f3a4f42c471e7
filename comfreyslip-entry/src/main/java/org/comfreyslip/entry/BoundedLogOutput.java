package org.comfreyslip.entry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Log handler that never blocks its callers. Lines wait in a bounded queue for a thread
 * that writes them to standard output in batches. Lines beyond the bound are dropped and
 * counted; the count is written with the next batch.
 */
public final class BoundedLogOutput extends Handler {

	/** Capacity of the queue, in lines; about one second of a daemon's full load. */
	private static final int MAX_WAITING_LINES = 2_000;

	/**
	 * Interval between two batches, in ms; each batch costs one wake-up and one write.
	 */
	private static final long BATCH_INTERVAL_MS = 250;

	private static final OutputStream OUTPUT = new FileOutputStream(FileDescriptor.out);

	private final Deque<String> waitingLines = new ArrayDeque<>();

	private long droppedCount;

	private BoundedLogOutput() {
	}

	/**
	 * Makes this the only handler of all loggers and starts its thread. Waiting lines are
	 * written when the process exits.
	 */
	public static void install() {
		LogManager.getLogManager().reset();
		BoundedLogOutput output = new BoundedLogOutput();
		Logger root = Logger.getLogger("");
		root.addHandler(output);
		root.setLevel(Level.INFO);
		Thread writer = new Thread(output::writeBatches, "log-output");
		writer.setDaemon(true);
		writer.start();
		Runtime.getRuntime().addShutdownHook(new Thread(output::writeWaiting, "log-flush"));
	}

	@Override
	public void publish(LogRecord logRecord) {
		String line = logRecord.getMillis() + " " + logRecord.getLevel().getName() + " " + logRecord.getMessage();
		if (logRecord.getThrown() != null) {
			line += " cause=" + logRecord.getThrown();
		}
		synchronized (this.waitingLines) {
			if (this.waitingLines.size() < MAX_WAITING_LINES) {
				this.waitingLines.addLast(line);
			}
			else {
				this.droppedCount++;
			}
		}
	}

	private void writeBatches() {
		try {
			while (true) {
				Thread.sleep(BATCH_INTERVAL_MS);
				writeWaiting();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeWaiting() {
		StringBuilder batch = new StringBuilder();
		synchronized (this.waitingLines) {
			if (this.droppedCount > 0) {
				batch.append("event=CS-")
					.append(EntryEvent.LINES_DROPPED.number())
					.append(" LINES_DROPPED count=")
					.append(this.droppedCount)
					.append('\n');
				this.droppedCount = 0;
			}
			while (!this.waitingLines.isEmpty()) {
				batch.append(this.waitingLines.removeFirst()).append('\n');
			}
		}
		if (batch.length() > 0) {
			write(batch.toString().getBytes(StandardCharsets.UTF_8));
		}
	}

	private static void write(byte[] bytes) {
		try {
			OUTPUT.write(bytes);
		}
		catch (IOException ex) {
			// The log has no other destination than standard output, so the failure
			// cannot be logged.
			System.err.println("the log cannot be written: " + ex.getMessage());
		}
	}

	@Override
	public void flush() {
	}

	@Override
	public void close() {
	}

}
