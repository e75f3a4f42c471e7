package org.comfreyslip.daemon;

import java.util.List;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.audit.AuditChain;
import org.comfreyslip.coordination.audit.AuditFault;
import org.comfreyslip.coordination.audit.AuditRecord;
import org.comfreyslip.coordination.audit.AuditRecord.Kind;
import org.comfreyslip.daemon.audit.AuditBatchCodec;
import org.comfreyslip.standins.FaultMode;
import org.comfreyslip.standins.FaultOrder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Several daemons and the log, while daemons leave and the log is unavailable.
 */
class DaemonPeersTests {

	private DaemonGroup group;

	@AfterEach
	void close() {
		this.group.close();
	}

	/** Guards against account shares that still count a daemon that has left. */
	@Test
	void daemonsCountEachOtherUntilOneLeaves() {
		this.group = new DaemonGroup();
		Daemon first = this.group.start("d1");
		Daemon second = this.group.start("d2", address(first));
		DaemonGroup.await().until(() -> first.peers().liveDaemons() == 2 && second.peers().liveDaemons() == 2);
		this.group.stop("d2");
		DaemonGroup.await().until(() -> first.peers().liveDaemons() == 1);
	}

	/** Guards against a daemon that has no configuration as long as the log is down. */
	@Test
	void aDaemonThatStartsWithoutTheLogTakesTheConfigurationOfMostPeers() {
		this.group = new DaemonGroup();
		Daemon first = this.group.start("d1");
		Daemon second = this.group.start("d2", address(first));
		this.group.propose(DaemonGroup.configText(1));
		this.group.awaitVersion("d1", 1);
		this.group.awaitVersion("d2", 1);
		this.group.log().fault(FaultOrder.of(FaultMode.DOWN));
		this.group.start("d3", address(first), DaemonGroup.freeAddress(), address(second));
		this.group.awaitVersion("d3", 1);
	}

	/** Guards against a daemon that misses versions because it cannot read the log. */
	@Test
	void aDaemonThatCannotReadTheLogFollowsItsPeer() {
		this.group = new DaemonGroup();
		Daemon first = this.group.start("d1");
		this.group.propose(DaemonGroup.configText(1));
		this.group.awaitVersion("d1", 1);
		this.group.startWithLog("d2", DaemonGroup.freeAddress(), address(first));
		this.group.awaitVersion("d2", 1);
		this.group.propose(DaemonGroup.configText(2));
		this.group.awaitVersion("d2", 2);
	}

	/** Guards against a configuration that is lost with the oldest records of the log. */
	@Test
	void anAcceptedConfigurationSurvivesTheRetentionOfTheLog() {
		this.group = new DaemonGroup("--retention-count", "3");
		this.group.start("d1");
		String id = this.group.propose(DaemonGroup.configText(1));
		DaemonGroup.await().until(() -> this.group.read("config").size() == 2);
		this.group.append("config", new byte[] { 1 });
		this.group.append("config", new byte[] { 2 });
		assertThat(this.group.read("config"))
			.noneMatch((record) -> new String(record.data()).contains(id) || record.offset() == 0);
		assertThat(ConfigRecordCodec.decode(this.group.read("config").get(0).data())).isPresent();
		this.group.start("d2");
		this.group.awaitVersion("d2", 1);
	}

	/** Guards against operators having to query each daemon for a request. */
	@Test
	void aDaemonExplainsARequestThatAnotherDaemonAdmitted() {
		this.group = new DaemonGroup();
		Daemon first = this.group.start("d1");
		Daemon second = this.group.start("d2", address(first));
		this.group.propose(DaemonGroup.configText(1));
		this.group.awaitVersion("d1", 1);
		HttpCall call = HttpCall.get(this.group.callerAddress("d1"), "/services/archive/stamps");
		HttpReply reply = this.group.http()
			.send(new HttpCall(call.address(), call.method(), call.path(),
					List.of(new HttpHeader("Authorization", "Bearer " + DaemonGroup.KEY)), call.body(), 0, 0,
					call.boundary()))
			.join();
		String id = reply.header("X-Request-Id");
		DaemonGroup.await().until(() -> second.peers().liveDaemons() == 2);
		HttpReply found = this.group.getFromAdmin("d2", "/admin/explain/" + id);
		assertThat(new String(found.body())).contains("\"daemon\":\"d1\"").contains(id);
		assertThat(this.group.getFromAdmin("d2", "/admin/explain/none").status()).isEqualTo(404);
	}

	/**
	 * Guards against a configuration that each daemon records in the audit stream, and
	 * against altered audit records that the check does not find.
	 */
	@Test
	void anAcceptedConfigurationIsRecordedOnceAndATamperedRecordIsFound() {
		this.group = new DaemonGroup();
		Daemon first = this.group.start("d1");
		Daemon second = this.group.start("d2", address(first));
		DaemonGroup.await()
			.until(() -> (first.lease().isValid() && second.lease().hasHolder())
					|| (second.lease().isValid() && first.lease().hasHolder()));
		Daemon holder = (first.lease().isValid()) ? first : second;
		String name = holder.peers().self().name();
		this.group.propose(DaemonGroup.configText(1));
		this.group.awaitVersion("d1", 1);
		this.group.awaitVersion("d2", 1);
		String id = this.group.propose(DaemonGroup.configText(2));
		this.group.awaitVersion("d1", 2);
		this.group.awaitVersion("d2", 2);
		holder.startDrain();
		DaemonGroup.await().until(() -> audit().stream().anyMatch((entry) -> entry.kind() == Kind.DRAIN));
		List<AuditRecord> all = audit();
		assertThat(all.stream().filter((entry) -> entry.subject().equals(id))).hasSize(1);
		List<AuditRecord> chain = all.stream().filter((entry) -> entry.daemon().equals(name)).toList();
		long incarnation = holder.peers().self().incarnation();
		assertThat(AuditChain.verify(name, incarnation, chain)).isEmpty();
		List<AuditRecord> tampered = chain.stream().map(DaemonPeersTests::tampered).toList();
		assertThat(AuditChain.verify(name, incarnation, tampered)).extracting(AuditFault::type)
			.contains(AuditFault.Type.ALTERED);
	}

	private List<AuditRecord> audit() {
		return this.group.read("audit")
			.stream()
			.flatMap((record) -> AuditBatchCodec.decode(record.data()).stream())
			.toList();
	}

	private static AuditRecord tampered(AuditRecord entry) {
		String detail = (entry.kind() == Kind.CONFIG_ACCEPTED) ? "version 1 by eve" : entry.detail();
		return new AuditRecord(entry.daemon(), entry.incarnation(), entry.sequence(), entry.timeEpochMillis(),
				entry.kind(), entry.subject(), detail, entry.previousDigest(), entry.digest());
	}

	private static String address(Daemon daemon) {
		return daemon.peers().self().address();
	}

}
