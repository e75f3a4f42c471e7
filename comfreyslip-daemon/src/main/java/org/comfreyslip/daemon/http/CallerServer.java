package org.comfreyslip.daemon.http;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.DrainController;
import org.comfreyslip.daemon.answer.AnswerService;
import org.comfreyslip.daemon.claim.ProtectedCallService;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.listener.ListenerStart;
import org.comfreyslip.daemon.listener.StrictListenerExtension;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.daemon.tls.ListenerApp;
import org.comfreyslip.daemon.tls.ListenerTls;
import org.comfreyslip.settings.TlsSection;

/**
 * The HTTP server for callers.
 */
public final class CallerServer {

	/**
	 * Largest request body in bytes. Jooby hands a body over only when it is complete.
	 */
	private static final int MAX_REQUEST_BYTES = 8 * 1024 * 1024;

	private static final int IO_THREADS = 2;

	private final Jooby app = new ListenerApp();

	private final NettyServer server = new NettyServer();

	/**
	 * Creates and starts the server.
	 * @param listen where to listen, as ip:port
	 * @param tls the files for TLS, or empty for plain HTTP
	 * @param parts what the routes need
	 */
	public CallerServer(String listen, Optional<TlsSection> tls, Parts parts) {
		ServerOptions options = ListenerTls.options(listen, tls, false)
			.setIoThreads(IO_THREADS)
			.setWorkerThreads(IO_THREADS)
			.setMaxRequestSize(MAX_REQUEST_BYTES)
			// Jooby writes bodies above the buffer size to a file, and hosts have no
			// disks.
			.setBufferSize(MAX_REQUEST_BYTES)
			.setDefaultHeaders(false);
		this.app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		this.app.setWorker(parts.workers());
		this.app.setServerOptions(options);
		this.app.error(CallerServer::onError);
		addRoutes(parts);
		this.server.setOptions(options);
		ListenerStart.start(this.server, this.app, listen, "http-listen");
	}

	/**
	 * Stops to listen and closes all connections.
	 */
	public void stop() {
		this.app.stop();
		this.server.stop();
	}

	private void addRoutes(Parts parts) {
		RequestGate gate = new RequestGate(parts.holder(), parts.drain(), parts.admission(), parts.tables(),
				parts.journal(), parts.metrics(), parts.clock());
		ModelRoutes models = new ModelRoutes(gate, parts.answers());
		RepeatableCalls repeatable = new RepeatableCalls(parts.tables(), parts.http(), parts.admission(),
				parts.workers(), parts.clock());
		ServiceRoutes services = new ServiceRoutes(gate, parts.protectedCalls(), repeatable, parts.random());
		route("POST", "/v1/chat/completions", (context) -> models.complete(context, CompletionStyle.CHAT));
		route("POST", "/v1/completions", (context) -> models.complete(context, CompletionStyle.TEXT));
		route("GET", "/v1/models", models::models);
		route("POST", "/v1/idempotency-keys", services::newKey);
		route("GET", "/v1/outcomes/{service}/{key}", services::outcome);
		for (String method : new String[] { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" }) {
			route(method, "/services/{service}", services::call);
			route(method, "/services/{service}/*", services::call);
		}
	}

	private void route(String method, String pattern, Route.Handler handler) {
		this.app.route(method, pattern, (context) -> (CallerConnection.isMalformed(context)) ? refuseMalformed(context)
				: handler.apply(context))
			.setReturnType(Context.class);
	}

	private static Context refuseMalformed(Context context) {
		CodedException error = new CallBoundary().closeAsNotRun(ErrorCode.BAD_REQUEST,
				"the request is not valid HTTP/1.1, its length is ambiguous, or its first line or header section is over "
						+ StrictListenerExtension.MAX_HEADER_BYTES + " bytes",
				-1);
		// Netty discards whatever follows on this connection, so it cannot be used again.
		context.setResponseHeader("Connection", "close");
		Replies.error(context, error, null);
		CallerConnection.closeAfterResponse(context);
		return context;
	}

	private static void onError(Context context, Throwable cause, StatusCode status) {
		if (CallerConnection.isMalformed(context)) {
			refuseMalformed(context);
			return;
		}
		CallBoundary boundary = new CallBoundary();
		Throwable error = switch (status.value()) {
			case StatusCode.NOT_FOUND_CODE -> boundary.closeAsNotRun(ErrorCode.NOT_FOUND,
					"no resource at " + context.getMethod() + " " + context.getRequestPath(), -1);
			case StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE -> boundary.closeAsNotRun(ErrorCode.BODY_TOO_LARGE,
					"the body exceeds " + MAX_REQUEST_BYTES + " bytes", -1);
			case StatusCode.METHOD_NOT_ALLOWED_CODE, StatusCode.BAD_REQUEST_CODE ->
				boundary.closeAsNotRun(ErrorCode.BAD_REQUEST, "the request is malformed: " + cause.getMessage(), -1);
			// Logged there, if it has no code.
			default -> cause;
		};
		Replies.error(context, error, null);
	}

	/**
	 * What the routes need.
	 *
	 * @param holder the configuration in force
	 * @param drain the shutdown state
	 * @param admission the admission
	 * @param tables the endpoint table
	 * @param journal the record of requests
	 * @param answers starts answers of models
	 * @param protectedCalls starts protected calls
	 * @param http the HTTP client for plain services
	 * @param metrics the requests' metrics
	 * @param workers runs blocking work
	 * @param random the source of idempotency keys
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(ConfigHolder holder, DrainController drain, Admission admission, RoutingTables tables,
			RequestJournal journal, AnswerService answers, ProtectedCallService protectedCalls, HttpTransport http,
			RequestMetrics metrics, ExecutorService workers, RandomGenerator random, LongSupplier clock) {
	}

}
