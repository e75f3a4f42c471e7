package org.comfreyslip.entry.reach;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a daemon that is cut off from endpoints leaves the rotation of the load
 * balancer. New callers are served with less effort by daemons that reach the endpoints,
 * as long as these can bear them: if too few are left in a data centre, the balancer uses
 * all its daemons again, or none and floods the nearest data centre, and requests are
 * spread more evenly by passing them on.
 */
public final class RotationPolicy {

	/** Sound daemons of the data centre that must be left for each one that leaves. */
	static final int PEERS_TO_LEAVE = 2;

	/** Sound daemons for each one out of rotation below which these return. */
	static final int PEERS_TO_STAY_OUT = 1;

	/**
	 * Time after a loss in which the daemon stays in rotation, in ns: until the other
	 * daemons of the data centre have told of theirs.
	 */
	static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private final String dataCentre;

	/** Steady time in ns at which the loss began; valid only during a loss. */
	private long lostSinceNanos;

	private boolean lost;

	private boolean out;

	/**
	 * Creates a policy for a daemon in rotation.
	 * @param dataCentre the daemon's data centre
	 */
	public RotationPolicy(String dataCentre) {
		this.dataCentre = dataCentre;
	}

	/**
	 * Takes the decision anew.
	 * @param lostServices services whose endpoints this daemon does not reach; may be
	 * empty
	 * @param peers the daemons that are alive, without this one
	 * @param nowNanos the current steady time in ns
	 * @return whether the daemon is out of rotation from now on
	 */
	public boolean update(List<String> lostServices, List<RelayPeer> peers, long nowNanos) {
		if (!this.lost) {
			this.lostSinceNanos = nowNanos;
		}
		this.lost = !lostServices.isEmpty();
		if (!this.lost || nowNanos - this.lostSinceNanos < SETTLING_NANOS) {
			this.out = false;
			return false;
		}
		int sound = 0;
		int cutOff = 1;
		for (RelayPeer peer : peers) {
			if (peer.dataCentre().equals(this.dataCentre)) {
				boolean reaches = lostServices.stream().allMatch(peer::mayReach);
				sound += (reaches && peer.accepting()) ? 1 : 0;
				cutOff += (reaches) ? 0 : 1;
			}
		}
		this.out = sound >= ((this.out) ? PEERS_TO_STAY_OUT : PEERS_TO_LEAVE) * cutOff;
		return this.out;
	}

	/**
	 * Tells whether there was a loss at the last decision.
	 * @return whether the decision has to be taken anew although nothing is lost now
	 */
	public boolean isInUse() {
		return this.lost;
	}

	/**
	 * Tells whether the daemon is out of rotation.
	 * @return the last decision
	 */
	public boolean isOut() {
		return this.out;
	}

}
