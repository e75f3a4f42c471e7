package org.comfreyslip.routing.endpoint;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Policy by which one of several endpoints is selected for a call.
 */
public enum EndpointPolicy {

	/** Any endpoint with equal probability. */
	RANDOM {
		@Override
		int selectIndex(List<EndpointCandidate> candidates, long turn, RandomGenerator random) {
			return random.nextInt(candidates.size());
		}
	},

	/** The endpoints in turn. */
	ROUND_ROBIN {
		@Override
		int selectIndex(List<EndpointCandidate> candidates, long turn, RandomGenerator random) {
			return (int) Math.floorMod(turn, (long) candidates.size());
		}
	},

	/** The one with the fewest open calls of this daemon; ties are broken at random. */
	LEAST_OUTSTANDING {
		@Override
		int selectIndex(List<EndpointCandidate> candidates, long turn, RandomGenerator random) {
			int best = 0;
			int ties = 1;
			for (int i = 1; i < candidates.size(); i++) {
				int difference = candidates.get(i).outstanding() - candidates.get(best).outstanding();
				ties = (difference == 0) ? ties + 1 : ties;
				if (difference < 0 || (difference == 0 && random.nextInt(ties) == 0)) {
					best = i;
					ties = (difference < 0) ? 1 : ties;
				}
			}
			return best;
		}
	},

	/** The one with the shorter expected queue of two that are drawn at random. */
	TWO_CHOICES {
		@Override
		int selectIndex(List<EndpointCandidate> candidates, long turn, RandomGenerator random) {
			int first = random.nextInt(candidates.size());
			int second = otherRandomIndex(first, candidates.size(), random);
			return lowerCostIndex(candidates, first, second, EndpointCandidate::queue);
		}
	},

	/**
	 * The one that is expected to complete the call first of two that are drawn in
	 * proportion to their rates. Drawing by rate sends more calls to fast endpoints even
	 * when the load reports are stale. Comparing only two keeps daemons with the same
	 * report from all choosing the same endpoint.
	 */
	WEIGHTED {
		@Override
		int selectIndex(List<EndpointCandidate> candidates, long turn, RandomGenerator random) {
			int first = randomIndexByRate(candidates, random);
			int second = randomIndexByRate(candidates, random);
			return lowerCostIndex(candidates, first, second, EndpointCandidate::expectedCompletionNanos);
		}
	};

	/**
	 * Selects an endpoint.
	 * @param candidates the endpoints that may take the call, at least one
	 * @param turn a counter that the caller increases by one with each call
	 * @param random the source of random numbers
	 * @return one of the candidates
	 */
	public EndpointCandidate select(List<EndpointCandidate> candidates, long turn, RandomGenerator random) {
		return candidates.get(selectIndex(candidates, turn, random));
	}

	abstract int selectIndex(List<EndpointCandidate> candidates, long turn, RandomGenerator random);

	private static int otherRandomIndex(int first, int size, RandomGenerator random) {
		if (size == 1) {
			return first;
		}
		int drawn = random.nextInt(size - 1);
		return (drawn < first) ? drawn : drawn + 1;
	}

	private static int lowerCostIndex(List<EndpointCandidate> candidates, int first, int second,
			ToDoubleFunction<EndpointCandidate> cost) {
		double a = cost.applyAsDouble(candidates.get(first));
		double b = cost.applyAsDouble(candidates.get(second));
		return (b < a) ? second : first;
	}

	private static int randomIndexByRate(List<EndpointCandidate> candidates, RandomGenerator random) {
		double total = 0;
		for (EndpointCandidate candidate : candidates) {
			total += candidate.callsPerNano();
		}
		double remainingRate = random.nextDouble() * total;
		for (int i = 0; i < candidates.size() - 1; i++) {
			remainingRate -= candidates.get(i).callsPerNano();
			if (remainingRate < 0) {
				return i;
			}
		}
		return candidates.size() - 1;
	}

}
