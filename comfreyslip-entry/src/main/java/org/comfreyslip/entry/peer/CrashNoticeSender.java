package org.comfreyslip.entry.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.comfreyslip.entry.blame.CrashBlame;
import org.comfreyslip.entry.blame.CrashNotice;

/**
 * Decides which notices of crashes go to which daemons: news to all at once, since the
 * regular messages to other data centres are seconds apart, and known causes again and
 * again to a few.
 */
public final class CrashNoticeSender {

	/** Longest interval at which news are looked for, in ms. */
	public static final long INTERVAL_MS = 50;

	/** Interval at which known causes are repeated, in ns. */
	private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Number of daemons to which each daemon repeats the known causes. A daemon misses
	 * all repeats of a second with a probability of one in twenty.
	 */
	private static final int REPEAT_TARGETS = 3;

	private final CrashBlame blame;

	private final RandomGenerator random;

	private long lastRepeatNanos;

	/**
	 * Creates the sender.
	 * @param blame the decisions of this daemon
	 * @param random source of random numbers
	 * @param nowNanos the current steady time in ns
	 */
	public CrashNoticeSender(CrashBlame blame, RandomGenerator random, long nowNanos) {
		this.blame = blame;
		this.random = random;
		this.lastRepeatNanos = nowNanos;
	}

	/**
	 * Draws conclusions from what is known and returns what is to be sent now.
	 * @param <T> type of the other daemons
	 * @param targets returns all other daemons; asked only if there is something to send
	 * @param nowNanos the current steady time in ns
	 * @return the notices with their receivers; may be empty
	 */
	public <T> List<Outgoing<T>> update(Supplier<List<T>> targets, long nowNanos) {
		List<Outgoing<T>> outgoing = new ArrayList<>();
		CrashNotice news = this.blame.update(nowNanos);
		if (!news.isEmpty()) {
			outgoing.add(new Outgoing<>(news, targets.get()));
		}
		if (nowNanos - this.lastRepeatNanos >= REPEAT_NANOS) {
			this.lastRepeatNanos = nowNanos;
			CrashNotice causes = this.blame.knownCauses(nowNanos);
			if (!causes.isEmpty()) {
				outgoing.add(new Outgoing<>(causes, some(targets.get())));
			}
		}
		return outgoing;
	}

	private <T> List<T> some(List<T> targets) {
		if (targets.isEmpty()) {
			return List.of();
		}
		List<T> chosen = new ArrayList<>();
		for (int index = 0; index < REPEAT_TARGETS; index++) {
			chosen.add(targets.get(this.random.nextInt(targets.size())));
		}
		return chosen;
	}

	/**
	 * A notice to be sent.
	 *
	 * @param <T> type of the other daemons
	 * @param notice the notice
	 * @param targets the daemons that it is sent to; may be empty
	 */
	public record Outgoing<T>(CrashNotice notice, List<T> targets) {
	}

}
