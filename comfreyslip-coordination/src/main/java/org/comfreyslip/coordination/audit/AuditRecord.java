package org.comfreyslip.coordination.audit;

import org.comfreyslip.coordination.digest.Sha256;

/**
 * One entry of a daemon's chain.
 *
 * @param daemon name of the daemon
 * @param incarnation the daemon's run; each run has its own chain
 * @param sequence number within the run, from 0 on
 * @param timeEpochMillis wall-clock time, for readers only
 * @param kind what happened
 * @param subject what it happened to, for example a lease's name
 * @param detail the particulars
 * @param previousDigest digest of the entry before, empty for the first
 * @param digest SHA-256 over all other fields
 */
public record AuditRecord(String daemon, long incarnation, long sequence, long timeEpochMillis, Kind kind,
		String subject, String detail, String previousDigest, String digest) {

	static AuditRecord create(String daemon, long incarnation, long sequence, AuditEvent event, String previousDigest) {
		AuditRecord open = new AuditRecord(daemon, incarnation, sequence, event.timeEpochMillis(), event.kind(),
				event.subject(), event.detail(), previousDigest, "");
		return new AuditRecord(daemon, incarnation, sequence, event.timeEpochMillis(), event.kind(), event.subject(),
				event.detail(), previousDigest, open.contentDigest());
	}

	/**
	 * Computes the digest that the entry should have.
	 * @return the SHA-256 digest of all fields but the digest itself
	 */
	public String contentDigest() {
		return Sha256.ofFields(this.daemon, Long.toString(this.incarnation), Long.toString(this.sequence),
				Long.toString(this.timeEpochMillis), this.kind.name(), this.subject, this.detail, this.previousDigest);
	}

	/** What happened. */
	public enum Kind {

		/** An operator proposed a configuration. */
		CONFIG_PROPOSED,

		/** A proposal was accepted. */
		CONFIG_ACCEPTED,

		/** A proposal was refused. */
		CONFIG_REFUSED,

		/** An order was sent to an endpoint. */
		ORDER_SENT,

		/** An endpoint answered an order. */
		ORDER_ANSWERED,

		/** A lease was acquired, lost or given up. */
		LEASE_CHANGED,

		/** The daemon entered a phase of its shutdown. */
		DRAIN,

		/** An endpoint was ejected or admitted again. */
		EJECTION,

		/** Requests were refused for one reason during an interval. */
		REFUSALS,

		/** Entries were dropped while the log was down. */
		GAP

	}

}
