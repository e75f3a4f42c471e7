package org.comfreyslip.routing.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.AccountSpec;

/**
 * Limits of the client accounts on one daemon. An account's limit is divided over the
 * live daemons, with a surplus for uneven connections; the sum over the daemons is at
 * most 25% plus one request per daemon above the limit. Reported usage of peers only
 * tightens this: a report that is old or lost never grants more.
 */
public final class AccountShares {

	/** Surplus per daemon for connections that the balancer spreads unevenly. */
	public static final double SHARE_SURPLUS_FACTOR = 1.25;

	/** Age from which a peer's report no longer counts, in ns: it is dead by then. */
	public static final long PEER_REPORT_MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Map<String, Usage> usageByAccount = new HashMap<>();

	private int liveDaemons = 1;

	private long activeWeight;

	/**
	 * Sets the number of live daemons. Open requests above a smaller share continue.
	 * @param count the live daemons, this one included, at least 1
	 */
	public void setLiveDaemons(int count) {
		if (count < 1) {
			throw Invariants.violated("live daemons " + count + "; this daemon itself is live");
		}
		this.liveDaemons = count;
	}

	/**
	 * Takes the usage that a peer reports.
	 * @param peer the peer's name
	 * @param account the account's name
	 * @param open the account's open requests at the peer
	 * @param nowNanos the current time in ns
	 */
	public void onPeerUsageReport(String peer, String account, int open, long nowNanos) {
		Usage usage = this.usageByAccount.computeIfAbsent(account, (key) -> new Usage());
		PeerUsage previous = usage.usageByPeer.get(peer);
		usage.peerOpenRequestCount += open - ((previous != null) ? previous.openRequestCount() : 0);
		if (open == 0) {
			usage.usageByPeer.remove(peer);
		}
		else {
			usage.usageByPeer.put(peer, new PeerUsage(open, nowNanos));
		}
		removeIfIdle(account, usage);
	}

	/**
	 * Drops the reports of peers that have not reported for
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
	 * Returns an account's share of this daemon.
	 * @param account the account
	 * @return the open requests that it may have here, at least 1
	 */
	public int share(AccountSpec account) {
		return share(account.maxConcurrent(), this.liveDaemons);
	}

	/**
	 * Returns the share of a limit on one of several daemons.
	 * @param limit the limit over all daemons
	 * @param daemons the live daemons
	 * @return the open requests on one daemon
	 */
	public static int share(int limit, int daemons) {
		return (int) Math.ceil(limit * SHARE_SURPLUS_FACTOR / daemons);
	}

	/**
	 * Returns why an account may not open a further request.
	 * @param account the account
	 * @return the reason, or empty if it may
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
	 * Returns whether an account would use more than its weighted part of this daemon.
	 * The part is taken among the accounts with open requests.
	 * @param account the account
	 * @param capacity the requests that the daemon may have open
	 * @return {@code true} if a further request is above the part
	 */
	public boolean wouldExceedFairShare(AccountSpec account, int capacity) {
		int open = openRequestCount(account.name());
		long weights = this.activeWeight + ((open == 0) ? account.weight() : 0);
		double fair = Math.max(1, (double) capacity * account.weight() / weights);
		return open + 1 > fair;
	}

	/**
	 * Opens a request.
	 * @param account the account; {@link #findRefusal} has been empty for it
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
	 * Closes a request.
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
	 * Returns an account's open requests on this daemon.
	 * @param account the account's name
	 * @return the count
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
	 * Usage of one account.
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
