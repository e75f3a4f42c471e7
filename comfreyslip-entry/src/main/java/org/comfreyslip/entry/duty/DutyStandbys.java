package org.comfreyslip.entry.duty;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreyslip.coordination.ranking.RendezvousRanking;

/**
 * The standbys to which the holder of the placement duty sends its notices.
 */
public final class DutyStandbys {

	/** Number of standbys: so many may be lost together with the holder, less one. */
	static final int COUNT = 3;

	/**
	 * Number of notices to a daemon that is no standby any more; it claims the duty if
	 * all are lost.
	 */
	private static final int FAREWELLS = 3;

	private List<String> standbys = List.of();

	/** Notices still due to former standbys, by name. */
	private final Map<String, Integer> farewells = new HashMap<>();

	/**
	 * Returns the standbys of the last round of notices.
	 * @return their names by rank
	 */
	List<String> current() {
		return this.standbys;
	}

	/**
	 * Returns the receivers of the next round of notices.
	 * @param candidates names of the other live daemons that reach the store and the
	 * engines
	 * @return the rank of each receiver by name; {@link DutyNotice#NO_STANDBY} for one
	 * that is no standby any more
	 */
	public Map<String, Integer> nextReceivers(Collection<String> candidates) {
		List<String> ranked = RendezvousRanking.rank("placement duty", new ArrayList<>(candidates));
		List<String> next = ranked.subList(0, Math.min(COUNT, ranked.size()));
		this.standbys.forEach((name) -> this.farewells.put(name, FAREWELLS));
		this.farewells.keySet().removeAll(next);
		this.standbys = List.copyOf(next);
		Map<String, Integer> receivers = new HashMap<>();
		this.farewells.keySet().forEach((name) -> receivers.put(name, DutyNotice.NO_STANDBY));
		this.farewells.replaceAll((name, count) -> count - 1);
		this.farewells.values().removeIf((count) -> count == 0);
		for (int rank = 0; rank < next.size(); rank++) {
			receivers.put(next.get(rank), rank);
		}
		return receivers;
	}

}
