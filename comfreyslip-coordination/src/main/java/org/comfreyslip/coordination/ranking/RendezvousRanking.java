package org.comfreyslip.coordination.ranking;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Rendezvous hashing (highest random weight): a member's score for a task is a hash of
 * both names, and the members are ranked by score. When a member leaves, only its tasks
 * are assigned to other members. Daemons that know different members may compute
 * different rankings, so no safety property may depend on the ranking.
 */
public final class RendezvousRanking {

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private RendezvousRanking() {
	}

	/**
	 * Ranks the members for a task.
	 * @param task the name of the task
	 * @param members the names of the members, in any order
	 * @return the names by descending score; equal scores are ordered by name
	 */
	public static List<String> rank(String task, Collection<String> members) {
		return members.stream()
			.map((name) -> new ScoredMember(name, score(task, name)))
			.sorted()
			.map(ScoredMember::name)
			.toList();
	}

	/**
	 * Returns the member with the highest score for a task.
	 * @param task the name of the task
	 * @param members the names of the members, in any order
	 * @return the first name of the ranking, empty if there are no members
	 */
	public static Optional<String> best(String task, Collection<String> members) {
		return members.stream()
			.map((name) -> new ScoredMember(name, score(task, name)))
			.sorted()
			.map(ScoredMember::name)
			.findFirst();
	}

	private static long score(String task, String member) {
		return HASHER.hashStream().putString(task).putString(member).getAsLong();
	}

	private record ScoredMember(String name, long score) implements Comparable<ScoredMember> {

		private static final Comparator<ScoredMember> ORDER = Comparator.comparingLong(ScoredMember::score)
			.reversed()
			.thenComparing(ScoredMember::name);

		@Override
		public int compareTo(ScoredMember other) {
			return ORDER.compare(this, other);
		}

	}

}
