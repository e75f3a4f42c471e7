package org.comfreyslip.entry.duty;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Whether the placement duty may be taken by records, during a replacement of daemons of
 * earlier releases, which know the leader of the store's group only. The daemons first
 * agree that no such daemon is alive, and then wait until each lease of the group has
 * ended.
 */
public final class ReleaseWatch {

	/**
	 * Time from the agreement to the first claim, in ns: the lease of the store's group.
	 */
	static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(3);

	/**
	 * Whether each daemon with a block knows of no daemon of an earlier release; no value
	 * for those without a block.
	 */
	private final Map<String, Boolean> knowsNoEarlier = new HashMap<>();

	private boolean alone;

	private boolean agreed;

	/** Elapsed time in ns since which all agree; valid only then. */
	private long agreedSinceNanos;

	/**
	 * Records whether a daemon's message has a block for the placement duty.
	 * @param sender the daemon
	 * @param knowsNone whether the sender knows of no daemon of an earlier release; empty
	 * if its message has no block
	 */
	public void onMessage(String sender, Optional<Boolean> knowsNone) {
		knowsNone.ifPresentOrElse((value) -> this.knowsNoEarlier.put(sender, value),
				() -> this.knowsNoEarlier.remove(sender));
	}

	/**
	 * Takes the decision anew.
	 * @param livePeers names of the other daemons that are alive
	 * @param nowNanos the current elapsed time in ns
	 */
	public void update(Collection<String> livePeers, long nowNanos) {
		this.knowsNoEarlier.keySet().retainAll(livePeers);
		this.alone = this.knowsNoEarlier.keySet().containsAll(livePeers);
		boolean all = this.alone && !this.knowsNoEarlier.containsValue(false);
		if (all && !this.agreed) {
			this.agreedSinceNanos = nowNanos;
		}
		this.agreed = all;
	}

	/**
	 * Tells whether no daemon of an earlier release is alive as far as this one knows.
	 * Then it takes no part in the group of the store, and says so to the others.
	 * @return whether there is none
	 */
	public boolean knowsNoEarlierRelease() {
		return this.alone;
	}

	/**
	 * Tells whether the duty may be claimed and held by records.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether all have agreed for the length of a lease of the group
	 */
	public boolean mayUseRecords(long nowNanos) {
		return this.agreed && nowNanos - this.agreedSinceNanos >= LEASE_NANOS;
	}

}
