package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.coordination.ranking.RendezvousRanking;

/**
 * Decides which daemon may let a request through on trial, so that not every daemon of a
 * large deployment tries at once. One daemon may at first; their number doubles as long
 * as none has seen a request to try.
 */
final class TrialTurn {

	/** Time for which the same daemons may try, in ns. */
	static final long TURN_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Number of turns after which all daemons of the largest deployments may try. */
	private static final int MAX_DOUBLINGS = 10;

	private final String daemon;

	private List<String> members;

	/**
	 * Creates the turns of a daemon that knows no others.
	 * @param daemon this daemon's name
	 */
	TrialTurn(String daemon) {
		this.daemon = daemon;
		this.members = List.of(daemon);
	}

	/**
	 * Replaces the set of other daemons.
	 * @param peers the names of the daemons that are alive, without this one
	 */
	void setPeers(Collection<String> peers) {
		List<String> names = new ArrayList<>(peers);
		names.add(this.daemon);
		this.members = names;
	}

	/**
	 * Tells whether this daemon may let a request through.
	 * @param conviction a conviction whose period is over
	 * @param nowNanos the current steady time in ns
	 * @return whether it is this daemon's turn
	 */
	boolean isOwnTurn(Conviction conviction, long nowNanos) {
		long turn = -conviction.remainingNanos(nowNanos) / TURN_NANOS;
		int sharers = 1 << (int) Math.min(turn, MAX_DOUBLINGS);
		String task = String.join(",", conviction.traits().stream().sorted().toList()) + "/" + turn;
		int rank = RendezvousRanking.rank(task, this.members).indexOf(this.daemon);
		return rank < sharers;
	}

}
