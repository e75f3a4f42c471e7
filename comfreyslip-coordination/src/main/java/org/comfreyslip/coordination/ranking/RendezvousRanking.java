package org.comfreyslip.coordination.ranking;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Rendezvous ranking: each member's score for a task is a hash of both, and the members
 * are ranked by score. When a member leaves, only its tasks move. Daemons that see
 * different members may rank differently, so no safety may depend on the ranking.
 */
public final class RendezvousRanking {

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private RendezvousRanking() {
	}

	/**
	 * Ranks members for a task.
	 * @param task the task's name
	 * @param members the members' names, in any order
	 * @return the names, best first; equal scores are ordered by name
	 */
	public static List<String> rank(String task, Collection<String> members) {
		return members.stream().map((name) -> new Scored(name, score(task, name))).sorted().map(Scored::name).toList();
	}

	/**
	 * Returns the best member for a task.
	 * @param task the task's name
	 * @param members the members' names, in any order
	 * @return the name, empty if there are no members
	 */
	public static Optional<String> best(String task, Collection<String> members) {
		return members.stream()
			.map((name) -> new Scored(name, score(task, name)))
			.sorted()
			.map(Scored::name)
			.findFirst();
	}

	private static long score(String task, String member) {
		return HASHER.hashStream().putString(task).putString(member).getAsLong();
	}

	private record Scored(String name, long score) implements Comparable<Scored> {

		private static final Comparator<Scored> ORDER = Comparator.comparingLong(Scored::score)
			.reversed()
			.thenComparing(Scored::name);

		@Override
		public int compareTo(Scored other) {
			return ORDER.compare(this, other);
		}

	}

}
