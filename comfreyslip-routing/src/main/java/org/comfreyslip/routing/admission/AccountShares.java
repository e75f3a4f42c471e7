package org.comfreyslip.routing.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.AccountSpec;

/**
 * Limits on the open requests of client accounts at one daemon. An account's limit is
 * divided over the live daemons, with a surplus because connections are spread unevenly;
 * the sum over the daemons exceeds the limit by at most 25% plus one request per daemon.
 * The usage that peers report can only lower what is granted: an old or lost report never
 * allows more than the share.
 */
public final class AccountShares {

	/**
	 * Factor by which the share of a daemon exceeds an even division of the limit,
	 * because the balancer spreads connections unevenly.
	 */
	public static final double SHARE_SURPLUS_FACTOR = 1.25;

	/**
	 * Age above which a peer's usage report no longer counts, in ns: by then the peer is
	 * dead.
	 */
	public static final long PEER_REPORT_MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Map<String, Usage> usageByAccount = new HashMap<>();

	private int liveDaemons = 1;

	private long activeWeight;

	/**
	 * Sets the number of live daemons. Requests that are already open continue even if
	 * the share falls below their number.
	 * @param count the number of live daemons, this one included, at least 1
	 */
	public void setLiveDaemons(int count) {
		if (count < 1) {
			throw Invariants.violated("live daemons " + count + "; this daemon itself is live");
		}
		this.liveDaemons = count;
	}

	/**
	 * Handles a usage report of a peer.
	 * @param peer the peer's name
	 * @param account the account's name
	 * @param openRequests the number of the account's open requests at the peer, from 0
	 * @param nowNanos the current time in ns
	 */
	public void onPeerUsageReport(String peer, String account, int openRequests, long nowNanos) {
		Usage usage = this.usageByAccount.computeIfAbsent(account, (key) -> new Usage());
		PeerUsage previous = usage.usageByPeer.get(peer);
		usage.peerOpenRequestCount += openRequests - ((previous != null) ? previous.openRequestCount() : 0);
		if (openRequests == 0) {
			usage.usageByPeer.remove(peer);
		}
		else {
			usage.usageByPeer.put(peer, new PeerUsage(openRequests, nowNanos));
		}
		removeIfIdle(account, usage);
	}

	/**
	 * Removes the reports of peers that have not reported for
	 * {@link #PEER_REPORT_MAX_AGE_NANOS}.
	 * @param nowNanos the current time in ns
	 */
	public void removeExpiredReports(long nowNanos) {
		for (Usage usage : this.usageByAccount.values()) {
			usage.usageByPeer.values()
				.removeIf((peer) -> nowNanos - peer.reportedAtNanos() > PEER_REPORT_MAX_AGE_NANOS);
			usage.peerOpenRequestCount = usage.usageByPeer.values()
				.stream()
				.mapToInt(PeerUsage::openRequestCount)
				.sum();
		}
		this.usageByAccount.values().removeIf(Usage::isIdle);
	}

	/**
	 * Returns how many open requests an account may have at this daemon.
	 * @param account the account
	 * @return its share of the account's limit, at least 1
	 */
	public int share(AccountSpec account) {
		return share(account.maxConcurrent(), this.liveDaemons);
	}

	/**
	 * Returns the share of a limit for one of several daemons.
	 * @param limit the limit on open requests over all daemons
	 * @param daemons the number of live daemons, at least 1
	 * @return the limit on open requests at one daemon
	 */
	public static int share(int limit, int daemons) {
		return (int) Math.ceil(limit * SHARE_SURPLUS_FACTOR / daemons);
	}

	/**
	 * Checks whether an account may open a further request.
	 * @param account the account
	 * @return the reason why it may not, or empty if it may
	 */
	public Optional<RefusalReason> findRefusal(AccountSpec account) {
		Usage usage = this.usageByAccount.get(account.name());
		int open = (usage != null) ? usage.openRequestCount : 0;
		if (open >= share(account)) {
			return Optional.of(RefusalReason.ACCOUNT_SHARE);
		}
		int everywhere = open + ((usage != null) ? usage.peerOpenRequestCount : 0);
		return (everywhere >= account.maxConcurrent()) ? Optional.of(RefusalReason.ACCOUNT_TOTAL) : Optional.empty();
	}

	/**
	 * Returns whether a further request would bring an account above its fair share of
	 * this daemon. The capacity is divided by weight among the accounts with open
	 * requests.
	 * @param account the account
	 * @param capacity the number of requests that the daemon may have open
	 * @return {@code true} if the account would be above its fair share, which is at
	 * least one request
	 */
	public boolean wouldExceedFairShare(AccountSpec account, int capacity) {
		int open = openRequestCount(account.name());
		long weights = this.activeWeight + ((open == 0) ? account.weight() : 0);
		double fair = Math.max(1, (double) capacity * account.weight() / weights);
		return open + 1 > fair;
	}

	/**
	 * Counts a request that was admitted.
	 * @param account the account, for which {@link #findRefusal} was empty
	 */
	public void openRequest(AccountSpec account) {
		Usage usage = this.usageByAccount.computeIfAbsent(account.name(), (key) -> new Usage());
		if (usage.openRequestCount == 0) {
			usage.weight = account.weight();
			this.activeWeight += usage.weight;
		}
		usage.openRequestCount++;
		if (usage.openRequestCount > share(account)) {
			throw Invariants.violated("account " + account.name() + " has " + usage.openRequestCount
					+ " requests, share " + share(account));
		}
	}

	/**
	 * Removes a request that ended from the count.
	 * @param account the account's name
	 */
	public void closeRequest(String account) {
		Usage usage = this.usageByAccount.get(account);
		if (usage == null || usage.openRequestCount == 0) {
			throw Invariants.violated("account " + account + " closes a request that is not open");
		}
		usage.openRequestCount--;
		if (usage.openRequestCount == 0) {
			this.activeWeight -= usage.weight;
			removeIfIdle(account, usage);
		}
	}

	/**
	 * Returns the number of an account's open requests at this daemon.
	 * @param account the account's name
	 * @return the count, 0 for an unknown account
	 */
	public int openRequestCount(String account) {
		Usage usage = this.usageByAccount.get(account);
		return (usage != null) ? usage.openRequestCount : 0;
	}

	private void removeIfIdle(String account, Usage usage) {
		if (usage.isIdle()) {
			this.usageByAccount.remove(account);
		}
	}

	/**
	 * Usage of one account at this daemon and its peers.
	 */
	private static final class Usage {

		private final Map<String, PeerUsage> usageByPeer = new HashMap<>();

		private int openRequestCount;

		private int peerOpenRequestCount;

		private int weight;

		private boolean isIdle() {
			return this.openRequestCount == 0 && this.usageByPeer.isEmpty();
		}

	}

	/**
	 * Reported usage of one account at one peer.
	 */
	private record PeerUsage(int openRequestCount, long reportedAtNanos) {
	}

}
