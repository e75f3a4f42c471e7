package org.comfreyslip.load.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Arrivals by a seeded exponential process. The same scenario and seed give the same
 * arrivals.
 */
public final class ArrivalSchedule {

	private final Scenario scenario;

	private final double rate;

	private final int accounts;

	private final int daemons;

	private final RandomGenerator random;

	private ArrivalSchedule(Scenario scenario, double rate, int accounts, int daemons) {
		this.scenario = scenario;
		this.rate = rate;
		this.accounts = accounts;
		this.daemons = daemons;
		this.random = new SplittableRandom(scenario.seed());
	}

	/**
	 * Creates the arrivals of a run.
	 * @param scenario the scenario
	 * @param requestsPerSecond the rate of arrivals
	 * @param accounts the number of client accounts
	 * @param daemons the number of daemons
	 * @return the arrivals in the order of time
	 */
	public static List<Arrival> create(Scenario scenario, double requestsPerSecond, int accounts, int daemons) {
		return new ArrivalSchedule(scenario, requestsPerSecond, accounts, daemons).arrivals();
	}

	private List<Arrival> arrivals() {
		List<Arrival> arrivals = new ArrayList<>();
		double end = TimeUnit.SECONDS.toNanos(this.scenario.durationSeconds());
		double time = gap();
		while (time < end) {
			arrivals.add(arrival(arrivals.size(), (long) time));
			time += gap();
		}
		return arrivals;
	}

	private double gap() {
		return -Math.log(1 - this.random.nextDouble()) / this.rate * TimeUnit.SECONDS.toNanos(1);
	}

	private Arrival arrival(int index, long atNanos) {
		RequestKind kind = kind();
		int account = this.random.nextInt(this.accounts);
		int daemon = this.random.nextInt(this.daemons);
		String text = switch (kind) {
			case UNARY, STREAMED, DIRECT -> prompt();
			case STAMP -> "certificate-" + this.scenario.seed() + "-" + index;
			case LOOK_UP -> "";
		};
		int maxTokens = kind.isCompletion() ? this.scenario.maxTokens().draw(this.random) : 0;
		return new Arrival(index, atNanos, kind, account, daemon, text, maxTokens);
	}

	private RequestKind kind() {
		int total = this.scenario.mix().values().stream().mapToInt(Integer::intValue).sum();
		int left = this.random.nextInt(total);
		for (RequestKind kind : RequestKind.values()) {
			left -= this.scenario.mix().get(kind);
			if (left < 0) {
				return kind;
			}
		}
		throw new IllegalStateException("the weights of the mix do not add up to " + total);
	}

	private String prompt() {
		int words = this.scenario.promptWords().draw(this.random);
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < words; i++) {
			text.append((i > 0) ? " " : "").append('w').append(this.random.nextInt(1_000_000));
		}
		return text.toString();
	}

}
