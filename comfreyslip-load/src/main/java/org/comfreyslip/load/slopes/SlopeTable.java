package org.comfreyslip.load.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures a probe at its sizes and fits the slopes.
 */
public final class SlopeTable {

	/** Header of the CSV lines. */
	public static final String CSV_HEADER = "probe,size,micros,heap_bytes,message_bytes";

	private static final int ROUNDS = 5;

	private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int COLLECTIONS = 4;

	private static final long COLLECTION_PAUSE_MILLIS = 50;

	private static final double NANOS_PER_MICRO = 1_000;

	private final SlopeProbe probe;

	private final List<SlopePoint> points;

	private SlopeTable(SlopeProbe probe, List<SlopePoint> points) {
		this.probe = probe;
		this.points = points;
	}

	/**
	 * Measures a probe.
	 * @param probe the probe
	 * @return the table
	 */
	public static SlopeTable measure(SlopeProbe probe) {
		// A first subject loads classes and fills caches that would count as heap.
		timeOf(probe.create(probe.sizes().get(0)));
		List<SlopePoint> points = new ArrayList<>();
		for (int size : probe.sizes()) {
			long before = usedHeap();
			SlopeSubject subject = probe.create(size);
			double heap = usedHeap() - before;
			points.add(new SlopePoint(size, timeOf(subject), heap, subject.messageBytes()));
		}
		return new SlopeTable(probe, points);
	}

	/**
	 * Returns the lines above the measured ones.
	 * @return the header of a Markdown table
	 */
	public static List<String> header() {
		return List.of("| Probe | Size | Time us | Heap KB | Message bytes |", "|---|---|---|---|---|");
	}

	/**
	 * Returns the points and the slopes.
	 * @return lines of a Markdown table
	 */
	public List<String> lines() {
		List<String> lines = new ArrayList<>();
		for (SlopePoint point : this.points) {
			lines.add(String.format(Locale.ROOT, "| %s | %d | %.2f | %.1f | %.0f |", this.probe.key(), point.size(),
					point.micros(), point.heapBytes() / 1_024, point.messageBytes()));
		}
		lines.add(String.format(Locale.ROOT, "| %s | per %s | %.4f | %.3f | %.2f |", this.probe.key(),
				this.probe.unit(), SlopeFit.of(this.points, SlopePoint::micros).slope(),
				SlopeFit.of(this.points, SlopePoint::heapBytes).slope() / 1_024,
				SlopeFit.of(this.points, SlopePoint::messageBytes).slope()));
		return lines;
	}

	/**
	 * Returns the points as CSV.
	 * @return one line per size
	 */
	public List<String> csv() {
		return this.points.stream()
			.map((point) -> String.format(Locale.ROOT, "%s,%d,%.3f,%.0f,%.0f", this.probe.key(), point.size(),
					point.micros(), point.heapBytes(), point.messageBytes()))
			.toList();
	}

	private static double timeOf(SlopeSubject subject) {
		double[] rounds = new double[ROUNDS];
		round(subject);
		for (int i = 0; i < ROUNDS; i++) {
			rounds[i] = round(subject);
		}
		Arrays.sort(rounds);
		return rounds[ROUNDS / 2] / NANOS_PER_MICRO;
	}

	private static double round(SlopeSubject subject) {
		long start = System.nanoTime();
		long count = 0;
		long hash = 0;
		while (System.nanoTime() - start < ROUND_NANOS) {
			hash += System.identityHashCode(subject.work());
			count++;
		}
		// The sum keeps the compiler from leaving the operation out.
		return (double) (System.nanoTime() - start) / count + ((hash == Long.MIN_VALUE) ? 1 : 0);
	}

	private static long usedHeap() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
			try {
				Thread.sleep(COLLECTION_PAUSE_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
