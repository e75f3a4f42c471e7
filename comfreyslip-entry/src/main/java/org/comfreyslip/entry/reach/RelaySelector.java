package org.comfreyslip.entry.reach;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Chooses the daemon through which a request reaches endpoints that this daemon does not
 * reach. Requests are spread evenly: over the data centre as long as its sound daemons
 * get at most half as much again, else over all daemons.
 */
public final class RelaySelector {

	/** Sound daemons of the data centre for each one that is cut off there. */
	static final int LOCAL_PEERS_PER_LOSS = 2;

	/** Time for which a daemon that did not take a request is avoided, in ns. */
	private static final long AVOIDED_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final String dataCentre;

	private final RandomGenerator random;

	/** Requests that this daemon has open at others, by name. */
	private final Map<String, Integer> openRequests = new HashMap<>();

	/** Steady time in ns until which a daemon is avoided, by name and service. */
	private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

	/**
	 * Creates a selector.
	 * @param dataCentre this daemon's data centre
	 * @param random source of the choice
	 */
	public RelaySelector(String dataCentre, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Chooses a daemon for a request.
	 * @param service name of the service that the request is for
	 * @param peers the daemons that are alive, without this one
	 * @param tried names of daemons that have not taken the request
	 * @param nowNanos the current steady time in ns
	 * @return the daemon; empty if none may reach the service
	 */
	public Optional<RelayPeer> choose(String service, List<RelayPeer> peers, Collection<String> tried, long nowNanos) {
		List<RelayPeer> all = new ArrayList<>();
		List<RelayPeer> local = new ArrayList<>();
		int localLosses = 1;
		for (RelayPeer peer : peers) {
			boolean isLocal = peer.dataCentre().equals(this.dataCentre);
			if (isLocal && !peer.mayReach(service)) {
				localLosses++;
			}
			if (peer.accepting() && peer.mayReach(service) && !tried.contains(peer.name())
					&& !isAvoided(peer.name(), service, nowNanos)) {
				all.add(peer);
				if (isLocal) {
					local.add(peer);
				}
			}
		}
		return chooseLessBusy((isLocalBetter(local.size(), localLosses, tried.size())) ? local : all);
	}

	// The second choice is from all, since losses in the data centre may not be known
	// yet.
	// Later ones are not, since those of other data centres become known last.
	private static boolean isLocalBetter(int localPeers, int localLosses, int triedCount) {
		return switch (triedCount) {
			case 0 -> localPeers >= LOCAL_PEERS_PER_LOSS * localLosses;
			case 1 -> false;
			default -> localPeers > 0;
		};
	}

	private Optional<RelayPeer> chooseLessBusy(List<RelayPeer> candidates) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		RelayPeer one = candidates.get(this.random.nextInt(candidates.size()));
		RelayPeer other = candidates.get(this.random.nextInt(candidates.size()));
		return Optional.of((open(other) < open(one)) ? other : one);
	}

	private int open(RelayPeer peer) {
		return this.openRequests.getOrDefault(peer.name(), 0);
	}

	private boolean isAvoided(String name, String service, long nowNanos) {
		Long until = this.avoidedUntilNanos.get(key(name, service));
		return until != null && nowNanos - until < 0;
	}

	private static String key(String name, String service) {
		return name + "/" + service;
	}

	/**
	 * Records that a request was sent to a daemon.
	 * @param name the daemon's name
	 */
	public void onSent(String name) {
		this.openRequests.merge(name, 1, Integer::sum);
	}

	/**
	 * Records that a request at a daemon has ended.
	 * @param name the daemon's name
	 */
	public void onEnded(String name) {
		this.openRequests.computeIfPresent(name, (key, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Records that a daemon did not take a request: it declined, or the connection to it
	 * failed.
	 * @param name the daemon's name
	 * @param service name of the service that the request was for
	 * @param nowNanos the current steady time in ns
	 */
	public void onNotTaken(String name, String service, long nowNanos) {
		this.avoidedUntilNanos.values().removeIf((until) -> nowNanos - until >= 0);
		this.avoidedUntilNanos.put(key(name, service), nowNanos + AVOIDED_NANOS);
	}

}
