package org.comfreyslip.entry.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.comfreyslip.coordination.ranking.RendezvousRanking;
import org.comfreyslip.entry.config.StoreReading;

/**
 * Selects the daemon of a data centre that reads the store for the others there, so that
 * the calls to the store rise with the data centres and not with the daemons. The choice
 * needs no agreement: two readers cost a few calls more, and without one the others read
 * for themselves as soon as their knowledge is too old.
 */
final class ReaderSelection {

	/**
	 * Least number of daemons in a data centre with a common reader; with two, it would
	 * save few calls.
	 */
	private static final int MIN_DAEMONS = 3;

	private ReaderSelection() {
	}

	/**
	 * Decides whether a daemon reads the store.
	 * @param dataCentre the data centre
	 * @param daemon the daemon's name
	 * @param storeReachable whether its own last read succeeded
	 * @param localPeers the other live daemons of the data centre by name, each with
	 * whether it has been heard of lately and its last read succeeded
	 * @return the decision
	 */
	static StoreReading select(String dataCentre, String daemon, boolean storeReachable,
			Map<String, Boolean> localPeers) {
		int peers = localPeers.size();
		if (1 + peers < MIN_DAEMONS) {
			return new StoreReading(true, "", peers, 0, 0);
		}
		List<String> members = new ArrayList<>();
		localPeers.forEach((name, reachable) -> {
			if (reachable) {
				members.add(name);
			}
		});
		if (storeReachable) {
			members.add(daemon);
		}
		if (members.isEmpty()) {
			members.addAll(localPeers.keySet());
			members.add(daemon);
		}
		String reader = RendezvousRanking.rank(dataCentre, members).get(0);
		boolean reads = reader.equals(daemon);
		return new StoreReading(reads, (reads) ? "" : reader, peers, (reads) ? peers : 0,
				PeerSchedule.confirmationLagMs(peers));
	}

}
