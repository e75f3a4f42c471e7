package org.comfreyslip.daemon.peer;

import java.util.concurrent.CompletableFuture;

import io.grpc.stub.StreamObserver;

/**
 * Passes the single message of a reply, or the failure of the call, to a future.
 *
 * @param <T> the message type
 */
final class PeerReply<T> implements StreamObserver<T> {

	private final CompletableFuture<T> future = new CompletableFuture<>();

	CompletableFuture<T> future() {
		return this.future;
	}

	@Override
	public void onNext(T message) {
		this.future.complete(message);
	}

	@Override
	public void onError(Throwable cause) {
		this.future.completeExceptionally(cause);
	}

	@Override
	public void onCompleted() {
		this.future.completeExceptionally(new IllegalStateException("the peer sent no message"));
	}

}
