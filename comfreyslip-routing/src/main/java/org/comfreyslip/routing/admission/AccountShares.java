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
	public static final double SURPLUS = 1.25;

	/** Age from which a peer's report no longer counts, in ns: it is dead by then. */
	public static final long REPORT_LIFE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Map<String, Usage> usages = new HashMap<>();

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
	public void onPeerUsage(String peer, String account, int open, long nowNanos) {
		Usage usage = this.usages.computeIfAbsent(account, (key) -> new Usage());
		PeerUsage previous = usage.peers.get(peer);
		usage.peersOpen += open - ((previous != null) ? previous.open() : 0);
		if (open == 0) {
			usage.peers.remove(peer);
		}
		else {
			usage.peers.put(peer, new PeerUsage(open, nowNanos));
		}
		removeIfIdle(account, usage);
	}

	/**
	 * Drops the reports of peers that have not reported for {@link #REPORT_LIFE_NANOS}.
	 * @param nowNanos the current time in ns
	 */
	public void expire(long nowNanos) {
		for (Usage usage : this.usages.values()) {
			usage.peers.values().removeIf((peer) -> nowNanos - peer.atNanos() > REPORT_LIFE_NANOS);
			usage.peersOpen = usage.peers.values().stream().mapToInt(PeerUsage::open).sum();
		}
		this.usages.values().removeIf(Usage::isIdle);
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
		return (int) Math.ceil(limit * SURPLUS / daemons);
	}

	/**
	 * Returns why an account may not open a further request.
	 * @param account the account
	 * @return the reason, or empty if it may
	 */
	public Optional<RefusalReason> refusal(AccountSpec account) {
		Usage usage = this.usages.get(account.name());
		int open = (usage != null) ? usage.open : 0;
		if (open >= share(account)) {
			return Optional.of(RefusalReason.ACCOUNT_SHARE);
		}
		int everywhere = open + ((usage != null) ? usage.peersOpen : 0);
		return (everywhere >= account.maxConcurrent()) ? Optional.of(RefusalReason.ACCOUNT_TOTAL) : Optional.empty();
	}

	/**
	 * Returns whether an account would use more than its weighted part of this daemon.
	 * The part is taken among the accounts with open requests.
	 * @param account the account
	 * @param capacity the requests that the daemon may have open
	 * @return {@code true} if a further request is above the part
	 */
	public boolean isAboveFairShare(AccountSpec account, int capacity) {
		int open = open(account.name());
		long weights = this.activeWeight + ((open == 0) ? account.weight() : 0);
		double fair = Math.max(1, (double) capacity * account.weight() / weights);
		return open + 1 > fair;
	}

	/**
	 * Opens a request.
	 * @param account the account; {@link #refusal} has been empty for it
	 */
	public void open(AccountSpec account) {
		Usage usage = this.usages.computeIfAbsent(account.name(), (key) -> new Usage());
		if (usage.open == 0) {
			usage.weight = account.weight();
			this.activeWeight += usage.weight;
		}
		usage.open++;
		if (usage.open > share(account)) {
			throw Invariants
				.violated("account " + account.name() + " has " + usage.open + " requests, share " + share(account));
		}
	}

	/**
	 * Closes a request.
	 * @param account the account's name
	 */
	public void close(String account) {
		Usage usage = this.usages.get(account);
		if (usage == null || usage.open == 0) {
			throw Invariants.violated("account " + account + " closes a request that is not open");
		}
		usage.open--;
		if (usage.open == 0) {
			this.activeWeight -= usage.weight;
			removeIfIdle(account, usage);
		}
	}

	/**
	 * Returns an account's open requests on this daemon.
	 * @param account the account's name
	 * @return the count
	 */
	public int open(String account) {
		Usage usage = this.usages.get(account);
		return (usage != null) ? usage.open : 0;
	}

	private void removeIfIdle(String account, Usage usage) {
		if (usage.isIdle()) {
			this.usages.remove(account);
		}
	}

	/**
	 * Usage of one account.
	 */
	private static final class Usage {

		private final Map<String, PeerUsage> peers = new HashMap<>();

		private int open;

		private int peersOpen;

		private int weight;

		private boolean isIdle() {
			return this.open == 0 && this.peers.isEmpty();
		}

	}

	/**
	 * Reported usage of one account at one peer.
	 */
	private record PeerUsage(int open, long atNanos) {
	}

}
