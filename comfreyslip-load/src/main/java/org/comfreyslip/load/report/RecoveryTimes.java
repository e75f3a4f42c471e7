package org.comfreyslip.load.report;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.load.run.FaultEvent;
import org.comfreyslip.load.run.Observation;
import org.comfreyslip.load.scenario.RequestKind;

/**
 * Computes how long the system needs after a fault.
 */
public final class RecoveryTimes {

	/** The time before the fault whose rate is compared. */
	static final long BEFORE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** The window in which the rate is measured afterwards. */
	static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final double RESTORED_SHARE = 0.9;

	private static final double NANOS_PER_MILLI = 1e6;

	private RecoveryTimes() {
	}

	/**
	 * Computes the recovery after each fault.
	 * @param faults the faults
	 * @param observations all requests
	 * @return one entry per fault
	 */
	public static List<Recovery> of(List<FaultEvent> faults, Collection<Observation> observations) {
		List<Observation> streams = observations.stream()
			.filter((seen) -> seen.arrival().kind() == RequestKind.STREAMED)
			.toList();
		long[] tokens = streams.stream().flatMapToLong((seen) -> Arrays.stream(seen.tokenNanos())).sorted().toArray();
		return faults.stream().map((fault) -> of(fault, streams, tokens)).toList();
	}

	private static Recovery of(FaultEvent fault, List<Observation> streams, long[] tokens) {
		long at = fault.atNanos();
		List<Observation> open = streams.stream()
			.filter((seen) -> seen.arrival().atNanos() < at && seen.endNanos() > at)
			.toList();
		long last = open.stream()
			.filter((seen) -> seen.answer().isDone())
			.mapToLong((seen) -> nextToken(seen, at))
			.max()
			.orElse(-1);
		int lost = (int) open.stream().filter((seen) -> !seen.answer().isDone()).count();
		return new Recovery(fault.fault(), fault.target(), open.size(), lost,
				(last < 0) ? -1 : (last - at) / NANOS_PER_MILLI, restored(at, tokens));
	}

	// A stream whose last token came before the fault still had to be finished.
	private static long nextToken(Observation seen, long at) {
		return Arrays.stream(seen.tokenNanos()).filter((token) -> token >= at).findFirst().orElse(seen.endNanos());
	}

	private static double restored(long at, long[] tokens) {
		double before = (double) count(tokens, at - BEFORE_NANOS, at) / BEFORE_NANOS;
		long end = (tokens.length > 0) ? tokens[tokens.length - 1] : 0;
		for (long from = at; from + WINDOW_NANOS <= end; from += STEP_NANOS) {
			double rate = (double) count(tokens, from, from + WINDOW_NANOS) / WINDOW_NANOS;
			if (rate >= RESTORED_SHARE * before) {
				return (from - at) / NANOS_PER_MILLI;
			}
		}
		return -1;
	}

	private static int count(long[] sorted, long from, long to) {
		return position(sorted, to) - position(sorted, from);
	}

	private static int position(long[] sorted, long value) {
		int found = Arrays.binarySearch(sorted, value);
		if (found < 0) {
			return -found - 1;
		}
		while (found > 0 && sorted[found - 1] == value) {
			found--;
		}
		return found;
	}

}
