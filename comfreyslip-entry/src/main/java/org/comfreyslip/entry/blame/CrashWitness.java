package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Matches the sends of this daemon that broke off with the ends of endpoints' processes.
 * A broken connection alone shows no crash, and only the endpoint that a request was sent
 * to can show that the request crashes endpoints: one that a stream passes through later
 * fails for all streams alike.
 */
final class CrashWitness {

	/**
	 * Longest time between the break of a send and the refused connection that shows that
	 * the process has ended, in ns, in either order.
	 */
	private static final long MATCH_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Largest number of requests in the reports of one endpoint. */
	private static final int MAX_SUSPECTS = 64;

	/** Largest number of endpoints that are watched at a time. */
	private static final int MAX_ENDPOINTS = 256;

	/** Broken sends by endpoint, the oldest endpoint first. */
	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	/**
	 * Records that a send broke off before its answer had begun.
	 * @param endpoint identity and start of the endpoint's process
	 * @param suspect the request
	 * @param nowNanos the current steady time in ns
	 */
	void onSendBroken(String endpoint, SuspectRequest suspect, long nowNanos) {
		Crash crash = watch(endpoint, nowNanos);
		if (crash.suspectCount < MAX_SUSPECTS) {
			crash.suspectCount++;
			crash.unreported.put(suspect.id(), suspect);
		}
	}

	private Crash watch(String endpoint, long nowNanos) {
		Crash crash = this.crashes.get(endpoint);
		if (crash == null) {
			if (this.crashes.size() >= MAX_ENDPOINTS) {
				this.crashes.remove(this.crashes.keySet().iterator().next());
			}
			crash = new Crash(nowNanos);
			this.crashes.put(endpoint, crash);
		}
		return crash;
	}

	/**
	 * Records that an endpoint's process has ended without announcing it.
	 * @param endpoint identity and start of the endpoint's process
	 * @param nowNanos the current steady time in ns
	 */
	void onEndpointEnded(String endpoint, long nowNanos) {
		watch(endpoint, nowNanos).ended = true;
	}

	/**
	 * Returns the requests that are newly known to have been at an endpoint that ended,
	 * and forgets what is too old.
	 * @param nowNanos the current steady time in ns
	 * @return a report for each such endpoint; may be empty
	 */
	List<CrashReport> takeReports(long nowNanos) {
		List<CrashReport> reports = new ArrayList<>();
		Iterator<Map.Entry<String, Crash>> entries = this.crashes.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<String, Crash> entry = entries.next();
			Crash crash = entry.getValue();
			if (crash.ended && !crash.unreported.isEmpty()) {
				reports.add(new CrashReport(entry.getKey(), nowNanos - crash.firstNanos,
						List.copyOf(crash.unreported.values())));
				crash.unreported.clear();
			}
			if (nowNanos - crash.firstNanos > MATCH_NANOS) {
				entries.remove();
			}
		}
		return reports;
	}

	private static final class Crash {

		/** Steady time in ns of the first sign. */
		private final long firstNanos;

		private final Map<String, SuspectRequest> unreported = new HashMap<>();

		private int suspectCount;

		private boolean ended;

		Crash(long firstNanos) {
			this.firstNanos = firstNanos;
		}

	}

}
