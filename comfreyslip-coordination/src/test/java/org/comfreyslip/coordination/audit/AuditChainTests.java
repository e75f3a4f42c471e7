package org.comfreyslip.coordination.audit;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.coordination.audit.AuditFault.Type;
import org.comfreyslip.coordination.audit.AuditRecord.Kind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against audit records that are lost, changed or replaced without being detected.
 */
class AuditChainTests {

	private final AuditChain chain = new AuditChain("a", 1);

	private final List<AuditRecord> records = new ArrayList<>(
			List.of(append("0"), append("1"), append("2"), append("3")));

	@Test
	void anIntactChainWithARepeatedBatchHasNoFault() {
		this.records.addAll(2, this.records.subList(0, 2));
		assertThat(verify()).isEmpty();
	}

	@Test
	void aMissingRecordIsDetected() {
		this.records.remove(1);
		assertThat(verify()).containsExactly(new AuditFault(1, Type.MISSING));
	}

	@Test
	void anAlteredRecordIsDetected() {
		AuditRecord old = this.records.get(1);
		this.records.set(1, new AuditRecord(old.daemon(), old.incarnation(), old.sequence(), old.timeEpochMillis(),
				old.kind(), old.subject(), "other", old.previousDigest(), old.digest()));
		assertThat(verify()).containsExactly(new AuditFault(1, Type.ALTERED));
	}

	@Test
	void aForeignRecordIsDetected() {
		this.records.add(2, new AuditChain("a", 1).append(event("0")));
		this.records.add(3, new AuditChain("b", 1).append(event("0")));
		assertThat(verify()).extracting(AuditFault::position).containsExactly(3);
		this.records.add(2, new AuditChain("a", 1).append(event("forged")));
		assertThat(verify()).contains(new AuditFault(2, Type.FOREIGN));
	}

	@Test
	void droppedEventsAreCountedAndReportedWhenTheBufferHasRoom() {
		AuditBuffer buffer = new AuditBuffer(new AuditChain("a", 1), 2);
		for (int i = 0; i < 5; i++) {
			buffer.add(event("e" + i));
		}
		assertThat(buffer.nextBatch(10)).isEqualTo(buffer.nextBatch(10)).hasSize(2);
		buffer.onAppended(9);
		assertThat(buffer.totalDropped()).isEqualTo(3);
		assertThat(buffer.nextBatch(10)).singleElement()
			.satisfies((gap) -> assertThat(gap.kind()).isEqualTo(Kind.GAP))
			.satisfies((gap) -> assertThat(gap.detail()).startsWith("3 events"));
	}

	private List<AuditFault> verify() {
		return AuditChain.verify("a", 1, this.records);
	}

	private AuditRecord append(String detail) {
		return this.chain.append(event(detail));
	}

	private static AuditEvent event(String detail) {
		return new AuditEvent(0, Kind.DRAIN, "s", detail);
	}

}
