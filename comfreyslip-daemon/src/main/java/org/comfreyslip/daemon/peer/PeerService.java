package org.comfreyslip.daemon.peer;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.wire.ExchangeReply;
import org.comfreyslip.wire.ExchangeRequest;
import org.comfreyslip.wire.FetchConfigReply;
import org.comfreyslip.wire.FetchConfigRequest;
import org.comfreyslip.wire.FindRequestReply;
import org.comfreyslip.wire.FindRequestRequest;
import org.comfreyslip.wire.PeerGrpc;

/**
 * The gRPC service for other daemons. Calls fail with {@code UNAVAILABLE} until
 * {@link #startServing}, because the daemon's address is known only once the server
 * listens.
 */
final class PeerService extends PeerGrpc.PeerImplBase {

	private final String daemon;

	private final ConfigHolder holder;

	private final RequestJournal journal;

	private final ConfigMessages configs;

	private volatile GossipService gossip;

	PeerService(String daemon, ConfigHolder holder, RequestJournal journal, ConfigMessages configs) {
		this.daemon = daemon;
		this.holder = holder;
		this.journal = journal;
		this.configs = configs;
	}

	void startServing(GossipService service) {
		this.gossip = service;
	}

	@Override
	public void exchange(ExchangeRequest request, StreamObserver<ExchangeReply> reply) {
		respond(reply, () -> {
			byte[] delta = this.gossip.handleExchange(request.getDelta().toByteArray());
			return ExchangeReply.newBuilder().setDelta(ByteString.copyFrom(delta)).build();
		});
	}

	@Override
	public void fetchConfig(FetchConfigRequest request, StreamObserver<FetchConfigReply> reply) {
		respond(reply, () -> this.configs.createReply(this.holder.accepted(), request.getKnownDigest()));
	}

	@Override
	public void findRequest(FindRequestRequest request, StreamObserver<FindRequestReply> reply) {
		respond(reply,
				() -> this.journal.find(request.getRequest())
					.map((record) -> FindRequestReply.newBuilder()
						.setFound(true)
						.setDaemon(this.daemon)
						.setRecord(new String(JsonCodec.write(record), StandardCharsets.UTF_8))
						.build())
					.orElse(FindRequestReply.getDefaultInstance()));
	}

	private <T> void respond(StreamObserver<T> reply, Supplier<T> message) {
		if (this.gossip == null) {
			reply.onError(Status.UNAVAILABLE.withDescription("the daemon is starting").asRuntimeException());
			return;
		}
		try {
			reply.onNext(message.get());
			reply.onCompleted();
		}
		catch (CodedException ex) {
			Status status = (ex.code() == ErrorCode.BAD_REQUEST) ? Status.INVALID_ARGUMENT : Status.INTERNAL;
			reply.onError(status.withDescription(ex.getMessage()).asRuntimeException());
		}
	}

}
