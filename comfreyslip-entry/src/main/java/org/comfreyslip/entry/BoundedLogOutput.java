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
 * Log handler that never blocks its callers: lines wait in a bounded queue for a thread
 * that writes them to standard output in batches. Lines beyond the bound are dropped and
 * counted.
 */
public final class BoundedLogOutput extends Handler {

	/** Lines that wait at most; about one second of a daemon's full load. */
	private static final int MAX_LINES = 2_000;

	/** Time between two batches, in ms; each batch is one wake-up and one write. */
	private static final long BATCH_MS = 250;

	private static final OutputStream OUTPUT = new FileOutputStream(FileDescriptor.out);

	private final Deque<String> lines = new ArrayDeque<>();

	private long dropped;

	private BoundedLogOutput() {
	}

	/** Makes this the only handler of all loggers and starts its thread. */
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
	public void publish(LogRecord entry) {
		String line = entry.getMillis() + " " + entry.getLevel().getName() + " " + entry.getMessage();
		if (entry.getThrown() != null) {
			line += " cause=" + entry.getThrown();
		}
		synchronized (this.lines) {
			if (this.lines.size() < MAX_LINES) {
				this.lines.addLast(line);
			}
			else {
				this.dropped++;
			}
		}
	}

	private void writeBatches() {
		try {
			while (true) {
				Thread.sleep(BATCH_MS);
				writeWaiting();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeWaiting() {
		StringBuilder batch = new StringBuilder();
		synchronized (this.lines) {
			if (this.dropped > 0) {
				batch.append("event=CS-")
					.append(EntryEvent.LINES_DROPPED.number())
					.append(" LINES_DROPPED count=")
					.append(this.dropped)
					.append('\n');
				this.dropped = 0;
			}
			while (!this.lines.isEmpty()) {
				batch.append(this.lines.removeFirst()).append('\n');
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
			// Standard output is the only place for a log line, so the loss cannot be
			// logged.
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
