package org.comfreyslip.load.slopes;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.coordination.membership.MemberHeartbeat;
import org.comfreyslip.coordination.membership.MemberReport;
import org.comfreyslip.coordination.membership.MemberTable;
import org.comfreyslip.coordination.membership.MembershipDelta;

/**
 * One second of gossip of a daemon: its own heartbeat, one difference received and one
 * sent, each with a new heartbeat of every member.
 */
final class MemberSlope implements SlopeSubject {

	private static final long SECOND = 1_000_000_000L;

	private static final String PEER = "daemon-1";

	private final MemberTable table;

	private final List<Member> others = new ArrayList<>();

	private long beat = 1;

	private long lastBytes;

	private MemberSlope(int members) {
		this.table = new MemberTable(member(0), 0);
		List<MemberReport> reports = new ArrayList<>();
		for (int i = 1; i < members; i++) {
			this.others.add(member(i));
			reports.add(report(member(i)));
		}
		this.table.merge(new MembershipDelta(PEER, List.of(), reports, List.of(), List.of(), List.of()), 0);
		this.table.deltaFor(PEER, List.of());
		this.table.onExchangeConfirmed(PEER);
		work();
	}

	static MemberSlope of(int members) {
		return new MemberSlope(members);
	}

	@Override
	public Object work() {
		this.beat++;
		long now = this.beat * SECOND;
		List<MemberHeartbeat> beats = this.others.stream()
			.map((other) -> new MemberHeartbeat(MemberTable.reportKey(report(other)), this.beat))
			.toList();
		this.table.tick(now, 1);
		this.table.merge(new MembershipDelta(PEER, List.of(), List.of(), beats, List.of(), List.of()), now);
		byte[] sent = this.table.deltaFor(PEER, List.of()).encode();
		this.table.onExchangeConfirmed(PEER);
		this.lastBytes = sent.length;
		return sent;
	}

	@Override
	public long messageBytes() {
		return this.lastBytes;
	}

	private static MemberReport report(Member member) {
		return new MemberReport(member, 1, MemberReport.Phase.RUNNING, 1);
	}

	private static Member member(int number) {
		return new Member("daemon-" + number, 1_700_000_000_000L + number,
				"10.1." + number / 250 + "." + (number % 250 + 1) + ":9090", "si-" + number % 7, "si-central");
	}

}
