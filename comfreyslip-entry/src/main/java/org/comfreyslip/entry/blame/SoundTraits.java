package org.comfreyslip.entry.blame;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * When a request with a trait was last answered, as far as this daemon knows.
 */
final class SoundTraits {

	/** Time for which an answer is remembered, in ns. */
	static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * Number of answers that show that endpoints answer other requests while none with a
	 * trait is answered.
	 */
	private static final int TELLING_ANSWERS = 5;

	/** Largest number of traits; those answered longest ago are forgotten first. */
	private static final int MAX_TRAITS = 8_192;

	/** Steady times in ns of the last answers of this daemon's requests. */
	private final Deque<Long> lastAnswers = new ArrayDeque<>();

	/** Steady time in ns of the last answer by trait, in the order of the records. */
	private final Map<String, Long> answeredNanos = new LinkedHashMap<>();

	/**
	 * Records that a request of this daemon was answered.
	 * @param traits the request's traits
	 * @param nowNanos the current steady time in ns
	 */
	void recordOwn(Set<String> traits, long nowNanos) {
		traits.forEach((trait) -> record(trait, nowNanos));
		this.lastAnswers.addLast(nowNanos);
		if (this.lastAnswers.size() > TELLING_ANSWERS) {
			this.lastAnswers.removeFirst();
		}
	}

	/**
	 * Tells whether endpoints have answered requests of this daemon since a time.
	 * @param sinceNanos the steady time in ns
	 * @return whether there were {@link #TELLING_ANSWERS}
	 */
	boolean areOthersAnsweredSince(long sinceNanos) {
		return this.lastAnswers.size() == TELLING_ANSWERS && this.lastAnswers.getFirst() - sinceNanos >= 0;
	}

	/**
	 * Records an answer unless a later one is known.
	 * @param trait the trait
	 * @param atNanos steady time in ns of the answer
	 */
	void record(String trait, long atNanos) {
		Long known = this.answeredNanos.get(trait);
		if (known != null && known - atNanos >= 0) {
			return;
		}
		this.answeredNanos.remove(trait);
		this.answeredNanos.put(trait, atNanos);
		if (this.answeredNanos.size() > MAX_TRAITS) {
			this.answeredNanos.remove(this.answeredNanos.keySet().iterator().next());
		}
	}

	/**
	 * Returns when a request with a trait was last answered.
	 * @param trait the trait
	 * @param nowNanos the current steady time in ns
	 * @return the steady time in ns; empty if it is not known or too long ago
	 */
	OptionalLong lastAnswer(String trait, long nowNanos) {
		Long known = this.answeredNanos.get(trait);
		return (known != null && nowNanos - known <= MEMORY_NANOS) ? OptionalLong.of(known) : OptionalLong.empty();
	}

	/**
	 * Tells whether a request with a trait was answered at a time or later.
	 * @param trait the trait
	 * @param sinceNanos the steady time in ns
	 * @param nowNanos the current steady time in ns
	 * @return whether such an answer is known
	 */
	boolean isSoundSince(String trait, long sinceNanos, long nowNanos) {
		OptionalLong last = lastAnswer(trait, nowNanos);
		return last.isPresent() && last.getAsLong() - sinceNanos >= 0;
	}

}
