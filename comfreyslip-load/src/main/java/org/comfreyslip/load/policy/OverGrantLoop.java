package org.comfreyslip.load.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.admission.AccountShares;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.Priority;

/**
 * One account that asks for four times its limit at all daemons. Requests arrive at
 * random daemons and last 10 s on average. Each second each daemon exchanges all usage it
 * knows with one random peer.
 */
final class OverGrantLoop {

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final int TICKS_PER_SECOND = 20;

	private static final double MEAN_SECONDS = 10;

	private static final double DEMAND = 4;

	private final RandomGenerator random;

	private final AccountSpec account;

	private final boolean gossip;

	private final List<AccountShares> daemons = new ArrayList<>();

	private final int[][] knownOpen;

	private final long[][] knownAt;

	private final PriorityQueue<Open> open = new PriorityQueue<>((a, b) -> Long.compare(a.endNanos(), b.endNanos()));

	OverGrantLoop(int daemons, int limit, boolean gossip, long seed) {
		this.random = new SplittableRandom(seed);
		this.account = new AccountSpec("account", List.of(), limit, Priority.NORMAL, 1);
		this.gossip = gossip;
		this.knownOpen = new int[daemons][daemons];
		this.knownAt = new long[daemons][daemons];
		for (int i = 0; i < daemons; i++) {
			AccountShares shares = new AccountShares();
			shares.setLiveDaemons(daemons);
			this.daemons.add(shares);
		}
	}

	OverGrantResult run(int seconds) {
		int peak = 0;
		long sum = 0;
		double perTick = this.account.maxConcurrent() * DEMAND / MEAN_SECONDS / TICKS_PER_SECOND;
		double arrivals = 0;
		for (int tick = 1; tick <= seconds * TICKS_PER_SECOND; tick++) {
			long now = tick * TICK_NANOS;
			end(now);
			for (arrivals += perTick; arrivals >= 1; arrivals--) {
				arrive(now);
			}
			if (this.gossip) {
				exchange(tick, now);
			}
			peak = Math.max(peak, this.open.size());
			sum += this.open.size();
		}
		double mean = (double) sum / (seconds * TICKS_PER_SECOND);
		return new OverGrantResult(this.daemons.size(), this.account.maxConcurrent(), this.gossip, peak, mean);
	}

	private void end(long now) {
		while (!this.open.isEmpty() && this.open.peek().endNanos() <= now) {
			this.daemons.get(this.open.remove().daemon()).closeRequest(this.account.name());
		}
	}

	private void arrive(long now) {
		int daemon = this.random.nextInt(this.daemons.size());
		AccountShares shares = this.daemons.get(daemon);
		if (shares.findRefusal(this.account).isEmpty()) {
			shares.openRequest(this.account);
			this.open.add(new Open(daemon, now + (long) (this.random.nextExponential() * MEAN_SECONDS * 1e9)));
		}
	}

	private void exchange(int tick, long now) {
		int count = this.daemons.size();
		for (int i = tick % TICKS_PER_SECOND; i < count; i += TICKS_PER_SECOND) {
			int peer = (i + 1 + this.random.nextInt(count - 1)) % count;
			observe(i, now);
			observe(peer, now);
			merge(i, peer, now);
			merge(peer, i, now);
			this.daemons.get(i).removeExpiredReports(now);
		}
	}

	private void observe(int daemon, long now) {
		this.knownOpen[daemon][daemon] = this.daemons.get(daemon).openRequestCount(this.account.name());
		this.knownAt[daemon][daemon] = now;
	}

	private void merge(int from, int to, long now) {
		for (int i = 0; i < this.daemons.size(); i++) {
			if (i != to && this.knownAt[from][i] > this.knownAt[to][i]) {
				this.knownAt[to][i] = this.knownAt[from][i];
				this.knownOpen[to][i] = this.knownOpen[from][i];
				this.daemons.get(to).onPeerUsageReport("d" + i, this.account.name(), this.knownOpen[to][i], now);
			}
		}
	}

	/**
	 * An open request.
	 *
	 * @param daemon the number of the daemon
	 * @param endNanos when it ends, in ns
	 */
	private record Open(int daemon, long endNanos) {
	}

}
