package org.comfreyslip.standins.weights;

import org.apache.commons.cli.Options;
import org.comfreyslip.clients.weights.RateLease;
import org.comfreyslip.clients.weights.RateLeaseRequest;
import org.comfreyslip.standins.RateBucket;
import org.comfreyslip.standins.Standin;
import org.comfreyslip.standins.StandinArguments;
import org.comfreyslip.standins.StandinReply;
import org.comfreyslip.standins.StandinRequest;
import org.comfreyslip.standins.StandinRoutes;
import org.comfreyslip.standins.StandinRuntime;

/**
 * Weight store that grants fetches within a rate.
 */
public final class WeightStoreStandin implements Standin {

	private static final int DEFAULT_KILOBYTES_PER_SECOND = 1_000_000;

	private static final double BYTES_PER_KILOBYTE = 1_000;

	private final RateBucket rate;

	/**
	 * Creates a store.
	 * @param arguments the options
	 * @param runtime what the server offers
	 */
	public WeightStoreStandin(StandinArguments arguments, StandinRuntime runtime) {
		double perSecond = BYTES_PER_KILOBYTE
				* Math.max(1, arguments.number("kilobytes-per-second", DEFAULT_KILOBYTES_PER_SECOND));
		this.rate = new RateBucket(perSecond, perSecond, System.nanoTime());
	}

	/**
	 * Returns the options.
	 * @return the options
	 */
	public static Options options() {
		return new Options().addOption(StandinArguments.option("kilobytes-per-second", "rate",
				"rate of granted fetches, default 1000000; one second's worth may be granted at once"));
	}

	@Override
	public void register(StandinRoutes routes) {
		routes.add("POST", "/leases-of-rate", (request) -> lease(request).now());
	}

	private synchronized StandinReply lease(StandinRequest request) {
		long bytes = request.json(RateLeaseRequest.class).bytes();
		long retryAfterMillis = this.rate.take(bytes, System.nanoTime());
		return StandinReply.json(new RateLease(retryAfterMillis == 0, retryAfterMillis));
	}

}
