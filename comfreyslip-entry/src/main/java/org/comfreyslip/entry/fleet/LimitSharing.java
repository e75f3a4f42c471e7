package org.comfreyslip.entry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.coordination.ranking.RendezvousRanking;

/**
 * Divides the limits of endpoints among the daemons. A few daemons in the endpoint's data
 * centre, which rendezvous hashing selects, get equal parts, and the others none: an even
 * part for each daemon would be too small for one request where there are many.
 * <p>
 * Daemons may know different members for a while. So that the sum of the parts stays
 * bounded, a daemon that has just joined has no part until all others must know it, and
 * the size of a part does not grow when other daemons fall silent.
 */
final class LimitSharing {

	/**
	 * Least rate that is shared, in requests per second, so that an endpoint that states
	 * 0 still gets a request whose response can end the limit.
	 */
	private static final double MIN_RATE = 0.25;

	/**
	 * Least number of daemons that share a limit, if there are as many. With two, a
	 * daemon that takes part by mistake raises the sum by half at most.
	 */
	private static final int MIN_SHARERS = 2;

	/**
	 * Time without a response of the endpoint, in ns and in addition to the settling
	 * time, after which other daemons share the limit: those that did may have no
	 * callers.
	 */
	private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Time for which a daemon counts for the size of a part after its last message, in
	 * ns. A daemon that no longer hears the others must not take the parts of all.
	 */
	private static final long PEER_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final String daemon;

	private final String dataCentre;

	/** Data centre of each other live daemon, by name. */
	private Map<String, String> livePeers = Map.of();

	/** The other daemons that were alive lately, by name. */
	private final Map<String, Peer> knownPeers = new HashMap<>();

	/** Time after which a daemon that joins is known to all others, in ns. */
	private long settlingNanos = Long.MAX_VALUE;

	private long joinedAtNanos;

	/**
	 * Creates the sharing for a daemon that has just joined and knows no others.
	 * @param daemon this daemon's name
	 * @param dataCentre this daemon's data centre
	 * @param nowNanos the current steady time in ns
	 */
	LimitSharing(String daemon, String dataCentre, long nowNanos) {
		this.daemon = daemon;
		this.dataCentre = dataCentre;
		this.joinedAtNanos = nowNanos;
	}

	/**
	 * Replaces the set of other daemons.
	 * @param dataCentres the data centre of each other daemon that is alive, by name
	 * @param rejoining whether the others may have taken this daemon for dead since the
	 * last call
	 * @param newSettlingNanos time in ns after which a daemon that joins is known to all
	 * others
	 * @param nowNanos the current steady time in ns
	 */
	void setPeers(Map<String, String> dataCentres, boolean rejoining, long newSettlingNanos, long nowNanos) {
		if (rejoining) {
			this.joinedAtNanos = nowNanos;
		}
		this.settlingNanos = newSettlingNanos;
		this.livePeers = dataCentres;
		dataCentres.forEach((name, peerDataCentre) -> this.knownPeers.put(name, new Peer(peerDataCentre, nowNanos)));
		this.knownPeers.values().removeIf((peer) -> nowNanos - peer.aliveAtNanos() > PEER_MEMORY_NANOS);
	}

	/**
	 * Returns the number of live daemons.
	 * @return the number, this daemon included
	 */
	int daemonCount() {
		return 1 + this.livePeers.size();
	}

	/**
	 * Returns the rate that is shared for a stated limit.
	 * @param stated the stated limit, in requests per second
	 * @return the rate of all daemons together, in requests per second; above 0
	 */
	static double sharedRate(double stated) {
		return Math.max(MIN_RATE, stated);
	}

	/**
	 * Returns this daemon's part of a limit.
	 * @param endpointId identity of the endpoint
	 * @param endpointDataCentre the endpoint's data centre
	 * @param stated the limit that the endpoint stated, in requests per second
	 * @param silentNanos time since it stated the limit last, in ns
	 * @param nowNanos the current steady time in ns
	 * @return the part, in requests per second; 0 if other daemons share the limit
	 */
	double part(String endpointId, String endpointDataCentre, double stated, long silentNanos, long nowNanos) {
		if (nowNanos - this.joinedAtNanos < this.settlingNanos) {
			return 0;
		}
		long silentPeriods = silentNanos / (SILENCE_NANOS + this.settlingNanos);
		List<String> members = members(endpointDataCentre);
		boolean local = silentPeriods == 0 && !members.isEmpty();
		if (!local) {
			members = members("");
		}
		double rate = sharedRate(stated);
		int sharerCount = (int) Math.min(countKnown((local) ? endpointDataCentre : ""), Math.max(MIN_SHARERS, rate));
		int rank = RendezvousRanking.rank(endpointId + "/" + silentPeriods, members).indexOf(this.daemon);
		return (rank >= 0 && rank < sharerCount) ? rate / sharerCount : 0;
	}

	// Returns the names of the live daemons of a data centre, or of all if it is empty.
	private List<String> members(String wanted) {
		List<String> names = new ArrayList<>();
		this.livePeers.forEach((name, peerDataCentre) -> {
			if (matches(wanted, peerDataCentre)) {
				names.add(name);
			}
		});
		if (matches(wanted, this.dataCentre)) {
			names.add(this.daemon);
		}
		return names;
	}

	// Counts the daemons of a data centre that were alive lately, or of all if it is
	// empty.
	private long countKnown(String wanted) {
		long peers = this.knownPeers.values().stream().filter((peer) -> matches(wanted, peer.dataCentre())).count();
		return peers + ((matches(wanted, this.dataCentre)) ? 1 : 0);
	}

	private static boolean matches(String wanted, String actual) {
		return wanted.isEmpty() || wanted.equals(actual);
	}

	/**
	 * Another daemon.
	 *
	 * @param dataCentre its data centre
	 * @param aliveAtNanos steady time in ns at which it was alive last
	 */
	private record Peer(String dataCentre, long aliveAtNanos) {
	}

}
