package org.comfreyslip.coordination.audit;

import org.comfreyslip.coordination.digest.Sha256;

/**
 * A record of the audit log, part of the {@link AuditChain} of its daemon.
 *
 * @param daemon the name of the daemon
 * @param incarnation the incarnation of the daemon; each one has its own chain
 * @param sequence the number within the chain, from 0
 * @param timeEpochMillis the wall-clock time in milliseconds since the epoch, for readers
 * only
 * @param kind what happened
 * @param subject what it happened to, for example the name of a lease
 * @param detail a description for readers
 * @param previousDigest the digest of the record before, empty for the first record
 * @param digest the SHA-256 digest of all other fields in lower-case hexadecimal
 */
public record AuditRecord(String daemon, long incarnation, long sequence, long timeEpochMillis, Kind kind,
		String subject, String detail, String previousDigest, String digest) {

	static AuditRecord create(String daemon, long incarnation, long sequence, AuditEvent event, String previousDigest) {
		AuditRecord withoutDigest = new AuditRecord(daemon, incarnation, sequence, event.timeEpochMillis(),
				event.kind(), event.subject(), event.detail(), previousDigest, "");
		return new AuditRecord(daemon, incarnation, sequence, event.timeEpochMillis(), event.kind(), event.subject(),
				event.detail(), previousDigest, withoutDigest.contentDigest());
	}

	/**
	 * Computes the digest that the record should have.
	 * @return the SHA-256 digest of all fields except {@code digest}, in lower-case
	 * hexadecimal
	 */
	public String contentDigest() {
		return Sha256.ofFields(this.daemon, Long.toString(this.incarnation), Long.toString(this.sequence),
				Long.toString(this.timeEpochMillis), this.kind.name(), this.subject, this.detail, this.previousDigest);
	}

	/** What an audit record is about. */
	public enum Kind {

		/** An operator proposed a configuration. */
		CONFIG_PROPOSED,

		/** A proposal was accepted. */
		CONFIG_ACCEPTED,

		/** A proposal was refused. */
		CONFIG_REFUSED,

		/** An order was sent to an endpoint. */
		ORDER_SENT,

		/** An endpoint responded to an order. */
		ORDER_ANSWERED,

		/** A lease was acquired, lost or released. */
		LEASE_CHANGED,

		/** The daemon entered a phase of its shutdown. */
		DRAIN,

		/** An endpoint was ejected or admitted again. */
		EJECTION,

		/** Requests were refused for one reason during an interval. */
		REFUSALS,

		/**
		 * Events were dropped because the buffer was full, for example while the log was
		 * unavailable.
		 */
		GAP

	}

}
