import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in ms. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startedAtNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(file.toFile());
	}

	synchronized void add(String line) {
		this.out.printf("%6d %s%n", (System.nanoTime() - this.startedAtNanos) / 1_000_000, line);
		this.out.flush();
	}

	@Override
	public void close() {
		this.out.close();
	}

}
