package org.comfreyslip.daemon.peer;

import java.util.concurrent.atomic.LongAdder;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerStreamTracer;

/**
 * Counts the bytes of messages between this daemon and its peers, without HTTP/2 headers.
 */
final class PeerTraffic {

	private final LongAdder sent = new LongAdder();

	private final LongAdder received = new LongAdder();

	long sentBytes() {
		return this.sent.sum();
	}

	long receivedBytes() {
		return this.received.sum();
	}

	ServerStreamTracer.Factory serverTracerFactory() {
		return new ServerStreamTracer.Factory() {

			@Override
			public ServerStreamTracer newServerStreamTracer(String method, Metadata headers) {
				return new ServerTracer();
			}

		};
	}

	ClientInterceptor clientInterceptor() {
		ClientStreamTracer.Factory tracers = new ClientStreamTracer.Factory() {

			@Override
			public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
				return new ClientTracer();
			}

		};
		return new ClientInterceptor() {

			@Override
			public <Q, R> ClientCall<Q, R> interceptCall(MethodDescriptor<Q, R> method, CallOptions options,
					Channel next) {
				return next.newCall(method, options.withStreamTracerFactory(tracers));
			}

		};
	}

	/** Counts the bytes of a call that a peer made. */
	private final class ServerTracer extends ServerStreamTracer {

		@Override
		public void outboundWireSize(long bytes) {
			PeerTraffic.this.sent.add(bytes);
		}

		@Override
		public void inboundWireSize(long bytes) {
			PeerTraffic.this.received.add(bytes);
		}

	}

	/** Counts the bytes of a call that this daemon made. */
	private final class ClientTracer extends ClientStreamTracer {

		@Override
		public void outboundWireSize(long bytes) {
			PeerTraffic.this.sent.add(bytes);
		}

		@Override
		public void inboundWireSize(long bytes) {
			PeerTraffic.this.received.add(bytes);
		}

	}

}
