package org.comfreyslip.routing.bound;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Upper bounds of throughput. For a model it is the maximum flow of tokens from layer 0
 * to the last one, where each engine is an edge from its first layer to its end. For a
 * service it is the sum of the endpoints' capacities.
 */
public final class ThroughputBound {

	// Flow below this fraction of the largest rate is a rounding error.
	private static final double EPSILON = 1e-9;

	private ThroughputBound() {
	}

	/**
	 * Calculates the bound of a model.
	 * @param layers the number of layers of the model
	 * @param rates the layer ranges and rates of its engines, possibly empty
	 * @return the bound and its bottleneck
	 */
	public static ModelBound ofModel(int layers, Collection<EngineRate> rates) {
		double[][] residual = new double[layers + 1][layers + 1];
		double largest = 0;
		for (EngineRate rate : rates) {
			residual[rate.layers().first()][rate.layers().end()] += rate.tokensPerSecond();
			largest = Math.max(largest, rate.tokensPerSecond());
		}
		double least = largest * EPSILON;
		double flow = 0;
		int[] parents = findParents(residual, least);
		while (parents[layers] >= 0) {
			flow += augmentFlow(residual, parents);
			parents = findParents(residual, least);
		}
		return createBound(flow, parents, rates, largest);
	}

	/**
	 * Calculates the bound of a plain service.
	 * @param capacities the capacity of each endpoint in calls per second
	 * @return the sum in calls per second
	 */
	public static double ofService(Collection<Double> capacities) {
		return capacities.stream().mapToDouble(Double::doubleValue).sum();
	}

	private static ModelBound createBound(double flow, int[] parents, Collection<EngineRate> rates, double largest) {
		List<String> cut = new ArrayList<>();
		double capacity = 0;
		for (EngineRate rate : rates) {
			boolean crosses = parents[rate.layers().first()] >= 0 && parents[rate.layers().end()] < 0;
			if (crosses) {
				cut.add(rate.engine());
				capacity += rate.tokensPerSecond();
			}
		}
		if (Math.abs(capacity - flow) > 1e-6 * Math.max(1, largest)) {
			throw Invariants.violated("maximum flow " + flow + " differs from the cut's capacity " + capacity);
		}
		return new ModelBound(flow, cut, (flow > 0) ? -1 : firstUnreached(parents));
	}

	private static int firstUnreached(int[] parents) {
		int last = 0;
		for (int i = 0; i < parents.length; i++) {
			last = (parents[i] >= 0) ? i : last;
		}
		return last;
	}

	private static int[] findParents(double[][] residual, double least) {
		int[] parents = new int[residual.length];
		Arrays.fill(parents, -1);
		parents[0] = 0;
		Deque<Integer> open = new ArrayDeque<>(List.of(0));
		while (!open.isEmpty()) {
			int node = open.remove();
			for (int next = 0; next < residual.length; next++) {
				if (parents[next] < 0 && residual[node][next] > least) {
					parents[next] = node;
					open.add(next);
				}
			}
		}
		return parents;
	}

	private static double augmentFlow(double[][] residual, int[] parents) {
		int sink = residual.length - 1;
		double amount = Double.POSITIVE_INFINITY;
		for (int node = sink; node != 0; node = parents[node]) {
			amount = Math.min(amount, residual[parents[node]][node]);
		}
		for (int node = sink; node != 0; node = parents[node]) {
			residual[parents[node]][node] -= amount;
			residual[node][parents[node]] += amount;
		}
		return amount;
	}

}
