package org.comfreyslip.coordination.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.coordination.audit.AuditFault.Type;

/**
 * Hash chain of the audit records of one incarnation of a daemon: each record contains
 * the digest of the one before. The chain detects faults of storage and software. It
 * contains no secret, so an attacker who rewrites a record and all later ones is not
 * detected. Not thread-safe.
 */
public final class AuditChain {

	private final String daemon;

	private final long incarnation;

	private long nextSequence;

	private String lastDigest = "";

	/**
	 * Creates an empty chain.
	 * @param daemon the name of the daemon
	 * @param incarnation the incarnation of the daemon, different after each restart
	 */
	public AuditChain(String daemon, long incarnation) {
		this.daemon = daemon;
		this.incarnation = incarnation;
	}

	/**
	 * Appends the record of an event to the chain.
	 * @param event what happened
	 * @return the record, with its sequence number and digests
	 */
	public AuditRecord append(AuditEvent event) {
		AuditRecord record = AuditRecord.create(this.daemon, this.incarnation, this.nextSequence, event,
				this.lastDigest);
		this.nextSequence++;
		this.lastDigest = record.digest();
		return record;
	}

	/**
	 * Verifies a chain that was read from the log. Identical records that appear again,
	 * because a batch was repeated after a lost response, are not a fault.
	 * @param daemon the name of the daemon
	 * @param incarnation the incarnation of the daemon
	 * @param records the records in the order of the log; the oldest may have been
	 * trimmed
	 * @return the faults, empty if the chain is intact
	 */
	public static List<AuditFault> verify(String daemon, long incarnation, List<AuditRecord> records) {
		List<AuditFault> faults = new ArrayList<>();
		Set<AuditRecord> seen = new HashSet<>();
		AuditRecord last = null;
		for (int i = 0; i < records.size(); i++) {
			AuditRecord record = records.get(i);
			Optional<Type> fault = findFault(daemon, incarnation, last, record, seen);
			if (fault.isPresent()) {
				faults.add(new AuditFault(i, fault.get()));
			}
			if (fault.orElse(Type.MISSING) != Type.FOREIGN && seen.add(record)) {
				last = record;
			}
		}
		return faults;
	}

	private static Optional<Type> findFault(String daemon, long incarnation, AuditRecord last, AuditRecord record,
			Set<AuditRecord> seen) {
		if (!record.digest().equals(record.contentDigest())) {
			return Optional.of(Type.ALTERED);
		}
		if (!record.daemon().equals(daemon) || record.incarnation() != incarnation) {
			return Optional.of(Type.FOREIGN);
		}
		if (last == null || seen.contains(record)) {
			return Optional.empty();
		}
		if (record.sequence() > last.sequence() + 1) {
			return Optional.of(Type.MISSING);
		}
		boolean linked = record.sequence() == last.sequence() + 1 && record.previousDigest().equals(last.digest());
		return linked ? Optional.empty() : Optional.of(Type.FOREIGN);
	}

}
