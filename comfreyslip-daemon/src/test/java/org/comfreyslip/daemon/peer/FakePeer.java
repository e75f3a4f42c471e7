package org.comfreyslip.daemon.peer;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.grpc.stub.StreamObserver;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.coordination.membership.MemberReport;
import org.comfreyslip.coordination.membership.MembershipDelta;
import org.comfreyslip.wire.ExchangeReply;
import org.comfreyslip.wire.ExchangeRequest;
import org.comfreyslip.wire.FetchConfigReply;
import org.comfreyslip.wire.FetchConfigRequest;
import org.comfreyslip.wire.PeerGrpc;

/**
 * A peer that reports a configuration version in exchanges and replies to fetches with a
 * fixed configuration.
 */
final class FakePeer extends PeerGrpc.PeerImplBase implements AutoCloseable {

	private final PeerTransport transport = new PeerTransport("127.0.0.1:0", this);

	private final AtomicInteger fetchCount = new AtomicInteger();

	private final AtomicInteger heartbeat = new AtomicInteger();

	private final long reportedVersion;

	private final ConfigSnapshot state;

	FakePeer(long reportedVersion, ConfigSnapshot state) {
		this.reportedVersion = reportedVersion;
		this.state = state;
	}

	String address() {
		return "127.0.0.1:" + this.transport.port();
	}

	int fetchCount() {
		return this.fetchCount.get();
	}

	PeerTransport transport() {
		return this.transport;
	}

	byte[] delta() {
		Member member = new Member("fake", 1, address(), "si-1", "si-central");
		MemberReport report = new MemberReport(member, this.heartbeat.incrementAndGet(), MemberReport.Phase.RUNNING,
				this.reportedVersion);
		return new MembershipDelta("fake", List.of(), List.of(report), List.of(), List.of(), List.of()).encode();
	}

	@Override
	public void exchange(ExchangeRequest request, StreamObserver<ExchangeReply> reply) {
		reply.onNext(ExchangeReply.newBuilder().setDelta(ByteString.copyFrom(delta())).build());
		reply.onCompleted();
	}

	@Override
	public void fetchConfig(FetchConfigRequest request, StreamObserver<FetchConfigReply> reply) {
		this.fetchCount.incrementAndGet();
		reply.onNext(new ConfigMessages().createReply(this.state, ""));
		reply.onCompleted();
	}

	@Override
	public void close() {
		this.transport.close();
	}

}
