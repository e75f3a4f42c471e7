package org.comfreyslip.coordination.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.coordination.audit.AuditFault.Type;

/**
 * Chain of one daemon's run. Each entry contains the digest of the one before. The chain
 * shows faults of storage and software; it holds no secret, so that somebody who rewrites
 * all later entries is not detected. Not thread-safe.
 */
public final class AuditChain {

	private final String daemon;

	private final long incarnation;

	private long nextSequence;

	private String lastDigest = "";

	/**
	 * Creates an empty chain.
	 * @param daemon name of the daemon
	 * @param incarnation the daemon's run
	 */
	public AuditChain(String daemon, long incarnation) {
		this.daemon = daemon;
		this.incarnation = incarnation;
	}

	/**
	 * Appends an entry.
	 * @param event what happened
	 * @return the entry
	 */
	public AuditRecord append(AuditEvent event) {
		AuditRecord record = AuditRecord.create(this.daemon, this.incarnation, this.nextSequence, event,
				this.lastDigest);
		this.nextSequence++;
		this.lastDigest = record.digest();
		return record;
	}

	/**
	 * Verifies a chain that was read from the log. Entries that appear again, because a
	 * batch was repeated after a lost answer, are no fault.
	 * @param daemon name of the daemon
	 * @param incarnation the daemon's run
	 * @param records the entries in the order of the log; the oldest may have been
	 * trimmed
	 * @return the faults, empty if the chain is whole
	 */
	public static List<AuditFault> verify(String daemon, long incarnation, List<AuditRecord> records) {
		List<AuditFault> faults = new ArrayList<>();
		Set<AuditRecord> seen = new HashSet<>();
		AuditRecord last = null;
		for (int i = 0; i < records.size(); i++) {
			AuditRecord record = records.get(i);
			Optional<Type> fault = fault(daemon, incarnation, last, record, seen);
			if (fault.isPresent()) {
				faults.add(new AuditFault(i, fault.get()));
			}
			if (fault.orElse(Type.MISSING) != Type.FOREIGN && seen.add(record)) {
				last = record;
			}
		}
		return faults;
	}

	private static Optional<Type> fault(String daemon, long incarnation, AuditRecord last, AuditRecord record,
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
