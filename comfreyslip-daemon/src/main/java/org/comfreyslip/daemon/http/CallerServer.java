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
 * The HTTP server for callers: completions of models, calls of plain services and look-up
 * of outcomes.
 */
public final class CallerServer {

	/**
	 * Largest request body in bytes. Jooby passes a body to a route only when it is
	 * complete.
	 */
	private static final int MAX_REQUEST_BYTES = 8 * 1024 * 1024;

	private static final int IO_THREADS = 2;

	private final Jooby app = new ListenerApp();

	private final NettyServer server = new NettyServer();

	/**
	 * Creates and starts the server.
	 * @param listen where to listen, as ip:port
	 * @param tls the files for TLS, or empty for plain HTTP
	 * @param dependencies the services that the routes use
	 */
	public CallerServer(String listen, Optional<TlsSection> tls, Dependencies dependencies) {
		ServerOptions options = ListenerTls.options(listen, tls, false)
			.setIoThreads(IO_THREADS)
			.setWorkerThreads(IO_THREADS)
			.setMaxRequestSize(MAX_REQUEST_BYTES)
			// Jooby writes bodies above the buffer size to a file, and hosts have no
			// disks.
			.setBufferSize(MAX_REQUEST_BYTES)
			.setDefaultHeaders(false);
		this.app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		this.app.setWorker(dependencies.workers());
		this.app.setServerOptions(options);
		this.app.error(CallerServer::onError);
		addRoutes(dependencies);
		this.server.setOptions(options);
		ListenerStart.start(this.server, this.app, listen, "http-listen");
	}

	/**
	 * Stops listening and closes all connections.
	 */
	public void stop() {
		this.app.stop();
		this.server.stop();
	}

	private void addRoutes(Dependencies dependencies) {
		RequestGate gate = new RequestGate(dependencies.configHolder(), dependencies.drain(), dependencies.admission(),
				dependencies.tables(), dependencies.journal(), dependencies.metrics(), dependencies.clock());
		ModelRoutes models = new ModelRoutes(gate, dependencies.answers());
		IdempotentCalls idempotentCalls = new IdempotentCalls(dependencies.tables(), dependencies.http(),
				dependencies.admission(), dependencies.workers(), dependencies.clock());
		ServiceRoutes services = new ServiceRoutes(gate, dependencies.protectedCalls(), idempotentCalls,
				dependencies.random());
		route("POST", "/v1/chat/completions", (context) -> models.complete(context, CompletionStyle.CHAT));
		route("POST", "/v1/completions", (context) -> models.complete(context, CompletionStyle.TEXT));
		route("GET", "/v1/models", models::listModels);
		route("POST", "/v1/idempotency-keys", services::createKey);
		route("GET", "/v1/outcomes/{service}/{key}", services::lookUpOutcome);
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
		Responses.sendError(context, error, null);
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
			// An error without a code is logged where it is sent.
			default -> cause;
		};
		Responses.sendError(context, error, null);
	}

	/**
	 * The services that the routes use.
	 *
	 * @param configHolder the configuration in force
	 * @param drain the shutdown state of the daemon
	 * @param admission admits or refuses requests
	 * @param tables the endpoints and their state
	 * @param journal the daemon's recent requests
	 * @param answers runs completions on the engines of a model
	 * @param protectedCalls runs calls of services that must not be repeated
	 * @param http the HTTP client for plain services
	 * @param metrics the metrics of requests
	 * @param workers the threads for blocking work
	 * @param random the source of idempotency keys
	 * @param clock the monotonic clock, in ns
	 */
	public record Dependencies(ConfigHolder configHolder, DrainController drain, Admission admission,
			RoutingTables tables, RequestJournal journal, AnswerService answers, ProtectedCallService protectedCalls,
			HttpTransport http, RequestMetrics metrics, ExecutorService workers, RandomGenerator random,
			LongSupplier clock) {
	}

}
