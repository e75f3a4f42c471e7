package org.comfreyslip.clients;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;

/**
 * The HTTP/1.1 client that all clients of a process share. Calls are asynchronous, never
 * repeated and never redirected, and each has a time limit. Cancelling a returned future
 * cancels its call.
 */
public final class HttpTransport implements AutoCloseable {

	/** Maximum number of calls in flight, both in total and to one address. */
	private static final int MAX_CALLS = 16_384;

	private static final int MAX_IDLE_CONNECTIONS = 1_024;

	private static final long IDLE_SECONDS = 60;

	/** OkHttp blocks a thread per call in flight, so the stacks are kept small. */
	private static final long STACK_BYTES = 256 * 1024;

	private final IdleConnections idle = new IdleConnections();

	private final ThreadPoolExecutor executor;

	private final OkHttpClient client;

	/**
	 * Creates a client with the default time limits.
	 */
	public HttpTransport() {
		this(HttpTimeouts.DEFAULT);
	}

	/**
	 * Creates a client.
	 * @param timeouts the limits for calls that set none of their own
	 */
	public HttpTransport(HttpTimeouts timeouts) {
		this.executor = newExecutor();
		this.client = newClient(timeouts);
	}

	/**
	 * Sends a call and collects the whole response.
	 * @param call the request to send, with its time limits
	 * @return the response with any status, or a {@link CallFailedException}
	 */
	public CompletableFuture<HttpReply> send(HttpCall call) {
		return start(call, HttpTransport::collect);
	}

	/**
	 * Sends a call and completes with the response as soon as its headers are received.
	 * @param call the request to send, with its time limits
	 * @return the response, to be closed by the receiver, or a
	 * {@link CallFailedException}
	 */
	public CompletableFuture<HttpStream> stream(HttpCall call) {
		return start(call, HttpTransport::open);
	}

	/**
	 * Closes the idle connections to one address, because the other side may no longer
	 * respond on them. Calls in progress are not affected.
	 * @param address ip:port
	 * @return the number of connections closed
	 */
	public int evictIdle(String address) {
		return this.idle.evict(address);
	}

	/**
	 * Returns the number of calls that are waiting or running.
	 * @return the number of calls, over all addresses
	 */
	public int callsInFlight() {
		return this.client.dispatcher().runningCallsCount() + this.client.dispatcher().queuedCallsCount();
	}

	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.executor.shutdown();
		this.client.connectionPool().evictAll();
	}

	private <T> CompletableFuture<T> start(HttpCall call, Function<Response, T> reader) {
		CompletableFuture<T> future = new CompletableFuture<>();
		CallState state = new CallState(call);
		Call started;
		try {
			started = this.client.newCall(request(call, state));
		}
		catch (IllegalArgumentException ex) {
			future.completeExceptionally(new CallFailedException(describe(call, ex), false, ex));
			return future;
		}
		if (call.totalMillis() > 0) {
			started.timeout().timeout(call.totalMillis(), TimeUnit.MILLISECONDS);
		}
		started.enqueue(new Completion<>(future, state, reader));
		future.whenComplete((result, ex) -> {
			if (future.isCancelled()) {
				started.cancel();
			}
		});
		return future;
	}

	private static Request request(HttpCall call, CallState state) {
		Request.Builder builder = new Request.Builder().url("http://" + call.address() + call.path());
		for (HttpHeader header : call.headers()) {
			builder.addHeader(header.name(), header.value());
		}
		return builder.method(call.method(), body(call)).tag(CallState.class, state).build();
	}

	private static RequestBody body(HttpCall call) {
		if (call.body() != null) {
			return new OneShotBody(call.body());
		}
		boolean hasNoBody = call.method().equals("GET") || call.method().equals("HEAD");
		return (hasNoBody) ? null : new OneShotBody(new byte[0]);
	}

	private static HttpReply collect(Response response) {
		try (ResponseBody body = response.body()) {
			return new HttpReply(response.code(), headers(response), body.bytes());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static HttpStream open(Response response) {
		return new HttpStream(response.code(), headers(response), response.body().byteStream());
	}

	private static List<HttpHeader> headers(Response response) {
		List<HttpHeader> headers = new ArrayList<>();
		response.headers().forEach((pair) -> headers.add(new HttpHeader(pair.getFirst(), pair.getSecond())));
		return headers;
	}

	private static String describe(HttpCall call, Exception cause) {
		return call.method() + " " + call.address() + call.path() + ": " + cause.getMessage();
	}

	private static ThreadPoolExecutor newExecutor() {
		AtomicLong number = new AtomicLong();
		return new ThreadPoolExecutor(0, Integer.MAX_VALUE, IDLE_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(),
				(task) -> {
					Thread thread = new Thread(null, task, "http-" + number.incrementAndGet(), STACK_BYTES);
					thread.setDaemon(true);
					return thread;
				});
	}

	private OkHttpClient newClient(HttpTimeouts timeouts) {
		Dispatcher dispatcher = new Dispatcher(this.executor);
		dispatcher.setMaxRequests(MAX_CALLS);
		dispatcher.setMaxRequestsPerHost(MAX_CALLS);
		return new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
			.protocols(List.of(Protocol.HTTP_1_1))
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectTimeout(timeouts.connectMillis(), TimeUnit.MILLISECONDS)
			.readTimeout(timeouts.readMillis(), TimeUnit.MILLISECONDS)
			.writeTimeout(timeouts.writeMillis(), TimeUnit.MILLISECONDS)
			.eventListener(this.idle)
			.addInterceptor(new ReadTimeoutInterceptor())
			.addNetworkInterceptor(new BoundaryInterceptor())
			.build();
	}

	private record Completion<T>(CompletableFuture<T> future, CallState state,
			Function<Response, T> reader) implements Callback {

		@Override
		public void onFailure(Call call, IOException ex) {
			this.future.completeExceptionally(
					new CallFailedException(describe(this.state.call(), ex), this.state.isSent(), ex));
		}

		@Override
		public void onResponse(Call call, Response response) {
			try {
				T result = this.reader.apply(response);
				if (!this.future.complete(result)) {
					response.close();
				}
			}
			catch (RuntimeException ex) {
				response.close();
				this.future.completeExceptionally(new CallFailedException(describe(this.state.call(), ex), true, ex));
			}
		}

	}

}
