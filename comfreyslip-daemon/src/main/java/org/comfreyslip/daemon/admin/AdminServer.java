package org.comfreyslip.daemon.admin;

import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.comfreyslip.clients.ErrorBody;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.DrainController;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.journal.RequestSearch;
import org.comfreyslip.daemon.listener.ListenerStart;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.daemon.tls.ListenerApp;
import org.comfreyslip.daemon.tls.ListenerTls;
import org.comfreyslip.settings.TlsSection;

/**
 * The HTTP server for operators and for the checks of the balancer.
 */
public final class AdminServer {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final String BEARER = "Bearer ";

	private final Jooby app = new ListenerApp();

	private final NettyServer server = new NettyServer();

	private final Parts parts;

	private final AdminReports reports;

	/**
	 * Creates and starts the server.
	 * @param listen the address to listen on, as ip:port
	 * @param tls the certificate and key files for TLS, or empty for plain HTTP
	 * @param parts the collaborators of the request handlers
	 */
	public AdminServer(String listen, Optional<TlsSection> tls, Parts parts) {
		this.parts = parts;
		this.reports = new AdminReports(parts);
		ServerOptions options = ListenerTls.options(listen, tls, true)
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setDefaultHeaders(false);
		this.app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		this.app.setServerOptions(options);
		this.app.error(AdminServer::onError);
		addRoutes();
		this.server.setOptions(options);
		ListenerStart.start(this.server, this.app, listen, "admin-listen");
	}

	/**
	 * Stops listening and closes all connections.
	 */
	public void stop() {
		this.app.stop();
		this.server.stop();
	}

	private void addRoutes() {
		addRoute("GET", "/health", (context) -> sendJson(context, OK, Map.of("status", "up")));
		addRoute("GET", "/ready", this::handleReady);
		addRoute("GET", "/metrics", (context) -> {
			context.setResponseHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
			return context.send(this.parts.registry().scrape());
		});
		addJsonRoute("GET", "/admin/status", (context) -> this.reports.status());
		addRoute("GET", "/admin/explain/{request}", this::handleExplain);
		addJsonRoute("GET", "/admin/impact/{service}",
				(context) -> this.reports.impact(context.path("service").value()));
		addJsonRoute("GET", "/admin/config", this::handleConfig);
		addJsonRoute("POST", "/admin/drain", this::handleDrain);
	}

	private void addJsonRoute(String method, String pattern, Function<Context, Object> handler) {
		addRoute(method, pattern, (context) -> {
			try {
				return sendJson(context, OK, handler.apply(context));
			}
			catch (CodedException ex) {
				return sendJson(context, ex.code().httpStatus(), new ErrorBody(ex.code().name(), ex.getMessage()));
			}
		});
	}

	private void addRoute(String method, String pattern, Route.Handler handler) {
		this.app.route(method, pattern, handler).setReturnType(Context.class);
	}

	private Context handleReady(Context context) {
		boolean ready = this.reports.isReady();
		return sendJson(context, ready ? OK : UNAVAILABLE, Map.of("ready", ready));
	}

	private Context handleExplain(Context context) {
		String id = context.path("request").value();
		Optional<AdminExplanation> own = this.reports.explain(id);
		if (own.isPresent()) {
			return sendJson(context, OK, own.get());
		}
		this.parts.search()
			.find(id)
			.thenAccept((found) -> found.map((other) -> sendJson(context, OK, other))
				.orElseGet(() -> sendJson(context, ErrorCode.NOT_FOUND.httpStatus(),
						new ErrorBody(ErrorCode.NOT_FOUND.name(),
								"request " + id + " is not in the journal of any daemon that responded"))));
		return context;
	}

	// Requires a credential: the text lists accounts and addresses, which not every
	// client that reaches the port may read.
	private AdminConfig handleConfig(Context context) {
		requireOperator(context);
		return this.reports.config();
	}

	private Map<String, String> handleDrain(Context context) {
		requireOperator(context);
		this.parts.drainStarter().run();
		return Map.of("state", this.reports.state());
	}

	private void requireOperator(Context context) {
		String header = context.header("Authorization").value("");
		Supplier<CodedException> unauthenticated = () -> new CodedException(ErrorCode.UNAUTHENTICATED,
				"the request carries no valid operator credential");
		ConfigInForce config = this.parts.holder().current().orElseThrow(unauthenticated);
		if (!header.startsWith(BEARER)) {
			throw unauthenticated.get();
		}
		config.findOperator(header.substring(BEARER.length()).trim()).orElseThrow(unauthenticated);
	}

	private static void onError(Context context, Throwable cause, StatusCode status) {
		if (status.value() == ErrorCode.NOT_FOUND.httpStatus()) {
			sendError(context, ErrorCode.NOT_FOUND,
					"no resource at " + context.getMethod() + " " + context.getRequestPath());
		}
		else if (status.value() < ErrorCode.INVARIANT_VIOLATED.httpStatus()) {
			sendError(context, ErrorCode.BAD_REQUEST, "the request is malformed: " + cause.getMessage());
		}
		else {
			DaemonEvent.UNEXPECTED.log(context.getRequestPath(), cause);
			sendError(context, ErrorCode.INVARIANT_VIOLATED, "the request failed unexpectedly");
		}
	}

	private static Context sendError(Context context, ErrorCode code, String message) {
		return sendJson(context, code.httpStatus(), new ErrorBody(code.name(), message));
	}

	private static Context sendJson(Context context, int status, Object message) {
		context.setResponseCode(status);
		context.setResponseHeader("Content-Type", "application/json");
		return context.send(JsonCodec.write(message));
	}

	/**
	 * Collaborators of the request handlers.
	 *
	 * @param daemon the name of this daemon
	 * @param holder holds the configuration in force
	 * @param firstClaimReadEnded whether the first read of every claim stream has ended
	 * @param drain the state of the shutdown
	 * @param drainStarter starts the shutdown
	 * @param tables the states of the endpoints
	 * @param journal the requests that this daemon recorded
	 * @param search finds requests in the journals of the other daemons
	 * @param registry the metrics of this daemon
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(String daemon, ConfigHolder holder, BooleanSupplier firstClaimReadEnded, DrainController drain,
			Runnable drainStarter, RoutingTables tables, RequestJournal journal, RequestSearch search,
			PrometheusMeterRegistry registry, LongSupplier clock) {
	}

}
