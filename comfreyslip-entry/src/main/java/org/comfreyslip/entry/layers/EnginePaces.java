package org.comfreyslip.entry.layers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Engines that are slower than usual. Engines are asked only when a stream through them
 * is slow, since reports are priced; what one daemon learns the others hear.
 */
public final class EnginePaces {

	/**
	 * Factor above which an engine counts as slow; below it the spread of usual passes
	 * hides it.
	 */
	public static final double SLOW = 1.3;

	/** Time for which a report is believed, in ns; a few rounds of reports. */
	private static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

	/** Time between two reports of one engine, in ns. */
	private static final long ASK_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

	private final Map<String, Pace> own = new HashMap<>();

	private final Map<String, Pace> heard = new HashMap<>();

	/**
	 * Tells whether an engine should be asked, and notes that it is.
	 * @param id the endpoint
	 * @param nowNanos the current time in ns
	 * @return whether the last report is old
	 */
	public boolean startAsking(String id, long nowNanos) {
		Pace pace = this.own.get(id);
		if (pace != null && nowNanos - pace.atNanos() < ASK_NANOS) {
			return false;
		}
		this.own.put(id, new Pace((pace != null) ? pace.factor() : 1, nowNanos));
		return true;
	}

	/**
	 * Records a report.
	 * @param id the endpoint
	 * @param factor factor on the engine's usual times
	 * @param nowNanos the current time in ns
	 */
	public void onReport(String id, double factor, long nowNanos) {
		this.own.put(id, new Pace(factor, nowNanos));
	}

	/**
	 * Records what another daemon found.
	 * @param id the endpoint
	 * @param factor factor on the engine's usual times
	 * @param nowNanos the current time in ns
	 */
	public void onHeard(String id, double factor, long nowNanos) {
		this.heard.put(id, new Pace(factor, nowNanos));
	}

	/**
	 * Returns the slow engines that this daemon found itself.
	 * @param nowNanos the current time in ns
	 * @return factors by endpoint
	 */
	public Map<String, Double> ownSlow(long nowNanos) {
		Map<String, Double> slow = new HashMap<>();
		this.own.forEach((id, pace) -> {
			if (pace.factor() > SLOW && nowNanos - pace.atNanos() < VALID_NANOS) {
				slow.put(id, pace.factor());
			}
		});
		return slow;
	}

	/**
	 * Returns the factor of an engine.
	 * @param id the endpoint
	 * @param nowNanos the current time in ns
	 * @return the factor on its usual times, 1 if nothing else is known
	 */
	public double factor(String id, long nowNanos) {
		return Math.max(valid(this.own.get(id), nowNanos), valid(this.heard.get(id), nowNanos));
	}

	private static double valid(Pace pace, long nowNanos) {
		return (pace != null && nowNanos - pace.atNanos() < VALID_NANOS) ? Math.max(1, pace.factor()) : 1;
	}

	private record Pace(double factor, long atNanos) {
	}

}
