package org.comfreyslip.daemon.audit;

import java.util.Map;
import java.util.function.BooleanSupplier;

import org.comfreyslip.coordination.audit.AuditRecord.Kind;
import org.comfreyslip.coordination.config.ConfigVerdict;
import org.comfreyslip.coordination.membership.EndpointNotification;

/**
 * Converts events of the daemon to audit entries and adds them to the {@link AuditLog}.
 */
public final class AuditTrail {

	/** Details of an endpoint entry, indexed by the state number of a notification. */
	private static final String[] ENDPOINT_STATES = { "admitted", "ejected", "leaving" };

	private final AuditLog log;

	private final BooleanSupplier recordsConfigDecisions;

	/**
	 * Creates a trail.
	 * @param log buffers and appends the entries
	 * @param recordsConfigDecisions whether this daemon is the one that records the
	 * configuration decisions, which all daemons reach
	 */
	public AuditTrail(AuditLog log, BooleanSupplier recordsConfigDecisions) {
		this.log = log;
		this.recordsConfigDecisions = recordsConfigDecisions;
	}

	/**
	 * Records that a proposed configuration was accepted or refused. All daemons reach
	 * the same decision, and only one of them records it.
	 * @param verdict the decision; verdicts on skipped records are ignored
	 */
	public void onConfigDecided(ConfigVerdict verdict) {
		boolean decided = verdict instanceof ConfigVerdict.Accepted || verdict instanceof ConfigVerdict.Refused;
		if (!decided || !this.recordsConfigDecisions.getAsBoolean()) {
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
	 * Records that this daemon acquired or lost a lease.
	 * @param lease the name of the lease
	 * @param detail the fencing token, or that the lease ended
	 */
	public void onLeaseChanged(String lease, String detail) {
		this.log.add(Kind.LEASE_CHANGED, lease, detail);
	}

	/**
	 * Records the requests that were rejected since the last call.
	 * @param reasons the number of rejected requests by reason
	 */
	public void onRequestsRejected(Map<String, Long> reasons) {
		reasons.forEach((reason, count) -> this.log.add(Kind.REFUSALS, reason, Long.toString(count)));
	}

	/**
	 * Records the outcome of an order to an engine.
	 * @param engine the name of the engine
	 * @param detail the order and its outcome
	 */
	public void onOrderEnded(String engine, String detail) {
		this.log.add(Kind.ORDER_ANSWERED, engine, detail);
	}

	/**
	 * Records that the shutdown has reached a phase.
	 * @param daemon the name of this daemon
	 * @param detail the name of the phase
	 */
	public void onDrainPhaseReached(String daemon, String detail) {
		this.log.add(Kind.DRAIN, daemon, detail);
	}

	/**
	 * Records that an endpoint was ejected, is leaving or was admitted again.
	 * @param notification the notification that is sent to the peers
	 */
	public void onEndpointStateChanged(EndpointNotification notification) {
		this.log.add(Kind.EJECTION, notification.endpoint(), ENDPOINT_STATES[notification.state()]);
	}

}
