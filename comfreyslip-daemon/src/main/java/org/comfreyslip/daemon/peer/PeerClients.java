package org.comfreyslip.daemon.peer;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.wire.ExchangeRequest;
import org.comfreyslip.wire.FetchConfigReply;
import org.comfreyslip.wire.FetchConfigRequest;
import org.comfreyslip.wire.FindRequestReply;
import org.comfreyslip.wire.FindRequestRequest;
import org.comfreyslip.wire.PeerGrpc;
import org.comfreyslip.wire.PeerGrpc.PeerStub;

/**
 * Calls to other daemons. A peer that failed is not called again before its backoff ends.
 */
final class PeerClients {

	private final PeerTransport transport;

	private final LongSupplier clock;

	private final PeerBackoff backoff = new PeerBackoff();

	PeerClients(PeerTransport transport, LongSupplier clock) {
		this.transport = transport;
		this.clock = clock;
	}

	CompletableFuture<byte[]> exchange(String address, byte[] delta) {
		ExchangeRequest request = ExchangeRequest.newBuilder().setDelta(ByteString.copyFrom(delta)).build();
		return this.<org.comfreyslip.wire.ExchangeReply>call(address, PeerLimits.EXCHANGE_MILLIS,
				PeerLimits.EXCHANGE_BYTES, (stub, reply) -> stub.exchange(request, reply))
			.thenApply((reply) -> reply.getDelta().toByteArray());
	}

	CompletableFuture<FetchConfigReply> fetchConfig(String address, String knownDigest) {
		FetchConfigRequest request = FetchConfigRequest.newBuilder().setKnownDigest(knownDigest).build();
		return call(address, PeerLimits.FETCH_MILLIS, PeerLimits.CONFIG_BYTES,
				(stub, reply) -> stub.fetchConfig(request, reply));
	}

	CompletableFuture<FindRequestReply> findRequest(String address, String id) {
		FindRequestRequest request = FindRequestRequest.newBuilder().setRequest(id).build();
		return call(address, PeerLimits.FIND_MILLIS, PeerLimits.FIND_BYTES,
				(stub, reply) -> stub.findRequest(request, reply));
	}

	void retain(Set<String> addresses) {
		this.transport.retain(addresses);
		this.backoff.retain(addresses);
	}

	private <T> CompletableFuture<T> call(String address, long timeoutMillis, int maxBytes,
			BiConsumer<PeerStub, StreamObserver<T>> method) {
		if (!this.backoff.isDue(address, this.clock.getAsLong())) {
			return CompletableFuture
				.failedFuture(new CodedException(ErrorCode.ENDPOINT_FAILED, "peer " + address + " failed recently"));
		}
		ManagedChannel channel = this.transport.channel(address);
		// The channel's own backoff grows to two minutes, during which a peer that came
		// back would not be noticed.
		channel.resetConnectBackoff();
		PeerReply<T> reply = new PeerReply<>();
		PeerStub stub = PeerGrpc.newStub(channel)
			.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
			.withMaxInboundMessageSize(maxBytes);
		method.accept(stub, reply);
		return reply.future().whenComplete((message, ex) -> recordOutcome(address, ex));
	}

	private void recordOutcome(String address, Throwable failure) {
		if (failure == null) {
			this.backoff.onSuccess(address);
			return;
		}
		this.backoff.onFailure(address, this.clock.getAsLong());
	}

}
