package org.comfreyslip.daemon.audit;

import java.util.Map;
import java.util.function.BooleanSupplier;

import org.comfreyslip.coordination.audit.AuditRecord.Kind;
import org.comfreyslip.coordination.config.ConfigVerdict;
import org.comfreyslip.coordination.membership.EndpointNotification;

/**
 * Turns what happens in the daemon into audit events.
 */
public final class AuditTrail {

	private static final String[] ENDPOINT_STATES = { "admitted", "ejected", "leaving" };

	private final AuditLog log;

	private final BooleanSupplier recordsConfig;

	/**
	 * Creates a trail.
	 * @param log takes the events
	 * @param recordsConfig whether this daemon records decisions that all daemons see
	 */
	public AuditTrail(AuditLog log, BooleanSupplier recordsConfig) {
		this.log = log;
		this.recordsConfig = recordsConfig;
	}

	/**
	 * Records an accepted or refused configuration. Of the daemons that fold the same
	 * records only one records the decision.
	 * @param verdict the decision
	 */
	public void onConfig(ConfigVerdict verdict) {
		boolean recorded = verdict instanceof ConfigVerdict.Accepted || verdict instanceof ConfigVerdict.Refused;
		if (!recorded || !this.recordsConfig.getAsBoolean()) {
			return;
		}
		if (verdict instanceof ConfigVerdict.Accepted accepted) {
			this.log.add(Kind.CONFIG_ACCEPTED, accepted.proposalId(),
					"version " + accepted.version().number() + " by " + accepted.author());
		}
		else if (verdict instanceof ConfigVerdict.Refused refused) {
			this.log.add(Kind.CONFIG_REFUSED, refused.proposalId(),
					"version " + refused.winner().version().number() + " by " + refused.winner().author() + " won");
		}
	}

	/**
	 * Records that this daemon got or lost a lease.
	 * @param lease the lease's name
	 * @param detail the fencing number, or that the lease ended
	 */
	public void onLease(String lease, String detail) {
		this.log.add(Kind.LEASE_CHANGED, lease, detail);
	}

	/**
	 * Records the refused requests of an interval.
	 * @param reasons the count of each reason
	 */
	public void onRefusals(Map<String, Long> reasons) {
		reasons.forEach((reason, count) -> this.log.add(Kind.REFUSALS, reason, Long.toString(count)));
	}

	/**
	 * Records the outcome of an order.
	 * @param engine the engine's name
	 * @param detail the order and its outcome
	 */
	public void onOrder(String engine, String detail) {
		this.log.add(Kind.ORDER_ANSWERED, engine, detail);
	}

	/**
	 * Records a phase of the shutdown.
	 * @param daemon the daemon's name
	 * @param detail the particulars
	 */
	public void onDrain(String daemon, String detail) {
		this.log.add(Kind.DRAIN, daemon, detail);
	}

	/**
	 * Records that an endpoint was ejected, is leaving or takes work again.
	 * @param notice the notice to the peers
	 */
	public void onEndpoint(EndpointNotification notice) {
		this.log.add(Kind.EJECTION, notice.endpoint(), ENDPOINT_STATES[notice.state()]);
	}

}
