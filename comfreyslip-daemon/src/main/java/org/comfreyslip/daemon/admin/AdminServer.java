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
 * The HTTP server for operators and the balancer's checks.
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
	 * @param listen where to listen, as ip:port
	 * @param tls the files for TLS, or empty for plain HTTP
	 * @param parts what the routes need
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
	 * Stops to listen and closes all connections.
	 */
	public void stop() {
		this.app.stop();
		this.server.stop();
	}

	private void addRoutes() {
		route("GET", "/health", (context) -> json(context, OK, Map.of("status", "up")));
		route("GET", "/ready", this::ready);
		route("GET", "/metrics", (context) -> {
			context.setResponseHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
			return context.send(this.parts.registry().scrape());
		});
		report("GET", "/admin/status", (context) -> this.reports.status());
		route("GET", "/admin/explain/{request}", this::explain);
		report("GET", "/admin/impact/{service}", (context) -> this.reports.impact(context.path("service").value()));
		report("GET", "/admin/config", this::config);
		report("POST", "/admin/drain", this::drain);
	}

	private void report(String method, String pattern, Function<Context, Object> handler) {
		route(method, pattern, (context) -> {
			try {
				return json(context, OK, handler.apply(context));
			}
			catch (CodedException ex) {
				return json(context, ex.code().httpStatus(), new ErrorBody(ex.code().name(), ex.getMessage()));
			}
		});
	}

	private void route(String method, String pattern, Route.Handler handler) {
		this.app.route(method, pattern, handler).setReturnType(Context.class);
	}

	private Context ready(Context context) {
		boolean ready = this.reports.isReady();
		return json(context, ready ? OK : UNAVAILABLE, Map.of("ready", ready));
	}

	private Context explain(Context context) {
		String id = context.path("request").value();
		Optional<AdminExplanation> own = this.reports.explain(id);
		if (own.isPresent()) {
			return json(context, OK, own.get());
		}
		this.parts.search()
			.find(id)
			.thenAccept((found) -> found.map((other) -> json(context, OK, other))
				.orElseGet(
						() -> json(context, ErrorCode.NOT_FOUND.httpStatus(), new ErrorBody(ErrorCode.NOT_FOUND.name(),
								"request " + id + " is not in the record of any daemon that answered"))));
		return context;
	}

	// The text lists accounts and addresses, which callers that reach the port need not
	// know.
	private AdminConfig config(Context context) {
		requireOperator(context);
		return this.reports.config();
	}

	private Map<String, String> drain(Context context) {
		requireOperator(context);
		this.parts.drainer().run();
		return Map.of("state", this.reports.state());
	}

	private void requireOperator(Context context) {
		String header = context.header("Authorization").value("");
		Supplier<CodedException> refusal = () -> new CodedException(ErrorCode.UNAUTHENTICATED,
				"the request carries no valid operator credential");
		ConfigInForce config = this.parts.holder().current().orElseThrow(refusal);
		if (!header.startsWith(BEARER)) {
			throw refusal.get();
		}
		config.findOperator(header.substring(BEARER.length()).trim()).orElseThrow(refusal);
	}

	private static void onError(Context context, Throwable cause, StatusCode status) {
		if (status.value() == ErrorCode.NOT_FOUND.httpStatus()) {
			error(context, ErrorCode.NOT_FOUND,
					"no resource at " + context.getMethod() + " " + context.getRequestPath());
		}
		else if (status.value() < ErrorCode.INVARIANT_VIOLATED.httpStatus()) {
			error(context, ErrorCode.BAD_REQUEST, "the request is malformed: " + cause.getMessage());
		}
		else {
			DaemonEvent.UNEXPECTED.log(context.getRequestPath(), cause);
			error(context, ErrorCode.INVARIANT_VIOLATED, "the request failed unexpectedly");
		}
	}

	private static Context error(Context context, ErrorCode code, String message) {
		return json(context, code.httpStatus(), new ErrorBody(code.name(), message));
	}

	private static Context json(Context context, int status, Object message) {
		context.setResponseCode(status);
		context.setResponseHeader("Content-Type", "application/json");
		return context.send(JsonCodec.write(message));
	}

	/**
	 * What the routes need.
	 *
	 * @param daemon the daemon's name
	 * @param holder the configuration in force
	 * @param claimsRead whether the claim streams have been read once
	 * @param drain the shutdown state
	 * @param drainer starts the shutdown
	 * @param tables the endpoint table
	 * @param journal the record of requests
	 * @param search searches the other daemons for a request
	 * @param registry the metrics
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(String daemon, ConfigHolder holder, BooleanSupplier claimsRead, DrainController drain,
			Runnable drainer, RoutingTables tables, RequestJournal journal, RequestSearch search,
			PrometheusMeterRegistry registry, LongSupplier clock) {
	}

}
