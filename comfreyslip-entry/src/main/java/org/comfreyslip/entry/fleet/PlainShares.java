package org.comfreyslip.entry.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.model.Endpoint;

/**
 * Shares of the sends of all daemons that the endpoints of a plain service should get.
 * Successive small parts of the sends go to the endpoint where they add the least to the
 * expected time of all requests.
 */
final class PlainShares {

	/** Age up to which shares are used, in ns; half of the interval of messages. */
	private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * Number of parts of the sends for each endpoint, and in all at least and at most.
	 */
	private static final int PARTS_PER_ENDPOINT = 16;

	private static final int MIN_PARTS = 64;

	private static final int MAX_PARTS = 256;

	/**
	 * Part of its even share that each endpoint gets at least, so that it is measured; so
	 * small that it does not show in the 99th percentile.
	 */
	private static final double TRIAL_PART = 0.01;

	/**
	 * Cost added for an endpoint in another data centre, in ms. It is higher than the
	 * network delay because traffic between data centres is charged for.
	 */
	private static final double REMOTE_COST_MS = 2.5;

	/** Factor by which the speeds of endpoints differ in the load that is addressed. */
	private static final double SPEED_SPREAD = 5;

	/** Cost added for an endpoint that fails often or is avoided, in ms. */
	private static final double DISTRUSTED_COST_MS = 1e9;

	private final String[] ids;

	private final double[] shares;

	private final long plannedAtNanos;

	private PlainShares(String[] ids, double[] shares, long nowNanos) {
		this.ids = ids;
		this.shares = shares;
		this.plannedAtNanos = nowNanos;
	}

	static PlainShares plan(List<Endpoint> candidates, String dataCentre, EndpointSpeeds speeds, EndpointFaults faults,
			long nowNanos) {
		int count = candidates.size();
		String[] ids = new String[count];
		int[] slots = new int[count];
		double[] serviceMs = new double[count];
		double[] fixedMs = new double[count];
		double[] sentPerMs = new double[count];
		for (int index = 0; index < count; index++) {
			Endpoint endpoint = candidates.get(index);
			ids[index] = endpoint.id();
			slots[index] = speeds.slots(endpoint);
			serviceMs[index] = speeds.serviceMs(endpoint, nowNanos);
			fixedMs[index] = (endpoint.dataCentre().equals(dataCentre)) ? 0 : REMOTE_COST_MS;
			if (speeds.isDistrusted(ids[index], nowNanos) || faults.isAvoided(ids[index], nowNanos)) {
				fixedMs[index] += DISTRUSTED_COST_MS;
			}
			sentPerMs[index] = speeds.sendsPerMs(endpoint, serviceMs[index], nowNanos);
		}
		int parts = Math.max(MIN_PARTS, Math.min(MAX_PARTS, PARTS_PER_ENDPOINT * count));
		double sendsPerMs = credible(sentPerMs, slots, serviceMs, fixedMs);
		double part = Math.max(sendsPerMs, 1e-6) / parts;
		double[] rates = distribute(parts, part, slots, serviceMs, fixedMs);
		double[] shares = new double[count];
		for (int index = 0; index < count; index++) {
			shares[index] = Math.max(rates[index] / (part * parts), TRIAL_PART / count);
		}
		return new PlainShares(ids, shares, nowNanos);
	}

	// Returns the sum of the sends, in requests per ms. A plan moves requests away from
	// an endpoint before one more costs more there than at all others. Sends beyond that
	// are wrong reports or from before a change of speed, and do not count.
	private static double credible(double[] sentPerMs, int[] slots, double[] serviceMs, double[] fixedMs) {
		double sum = 0;
		for (int index = 0; index < slots.length; index++) {
			double dearestMs = SPEED_SPREAD * serviceMs[index];
			for (int other = 0; other < slots.length; other++) {
				if (other != index && fixedMs[other] < DISTRUSTED_COST_MS) {
					double otherMs = QueueModel.addedMs(sentPerMs[other], slots[other], serviceMs[other]);
					dearestMs = Math.max(dearestMs, fixedMs[other] + otherMs);
				}
			}
			sum += Math.min(sentPerMs[index], QueueModel.ratePerMs(dearestMs, slots[index], serviceMs[index]));
		}
		return sum;
	}

	// Returns the requests per ms that each endpoint gets.
	private static double[] distribute(int parts, double part, int[] slots, double[] serviceMs, double[] fixedMs) {
		double[] rates = new double[slots.length];
		double[] costs = new double[slots.length];
		for (int index = 0; index < slots.length; index++) {
			costs[index] = fixedMs[index] + QueueModel.addedMs(part, slots[index], serviceMs[index]);
		}
		for (int done = 0; done < parts; done++) {
			int cheapest = 0;
			for (int index = 1; index < costs.length; index++) {
				cheapest = (costs[index] < costs[cheapest]) ? index : cheapest;
			}
			rates[cheapest] += part;
			costs[cheapest] = fixedMs[cheapest]
					+ QueueModel.addedMs(rates[cheapest] + part, slots[cheapest], serviceMs[cheapest]);
		}
		return rates;
	}

	boolean isCurrent(List<Endpoint> candidates, long nowNanos) {
		boolean same = candidates.size() == this.ids.length && ageNanos(nowNanos) < MAX_AGE_NANOS;
		for (int index = 0; same && index < this.ids.length; index++) {
			same = this.ids[index].equals(candidates.get(index).id());
		}
		return same;
	}

	long ageNanos(long nowNanos) {
		return nowNanos - this.plannedAtNanos;
	}

	double share(int index) {
		return this.shares[index];
	}

}
