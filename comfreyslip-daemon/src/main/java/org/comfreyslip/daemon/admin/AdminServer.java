package org.comfreyslip.daemon.admin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.DrainController;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.journal.RequestRecord;
import org.comfreyslip.daemon.route.EndpointStatus;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.daemon.tls.ListenerApp;
import org.comfreyslip.daemon.tls.ListenerTls;
import org.comfreyslip.platform.ErrorBody;
import org.comfreyslip.platform.PlatformJson;
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

	/**
	 * Creates and starts the server.
	 * @param listen where to listen, as ip:port
	 * @param tls the files for TLS, or empty for plain HTTP
	 * @param parts what the routes need
	 */
	public AdminServer(String listen, Optional<TlsSection> tls, Parts parts) {
		this.parts = parts;
		ServerOptions options = ListenerTls.options(listen, tls, true)
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setDefaultHeaders(false);
		this.app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		this.app.setServerOptions(options);
		this.app.error(AdminServer::onError);
		addRoutes();
		this.server.setOptions(options);
		this.server.start(this.app);
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
		route("GET", "/admin/status", this::status);
		route("GET", "/admin/explain/{request}", this::explain);
		route("POST", "/admin/drain", this::drain);
	}

	private void route(String method, String pattern, io.jooby.Route.Handler handler) {
		this.app.route(method, pattern, handler).setReturnType(Context.class);
	}

	private Context ready(Context context) {
		boolean ready = this.parts.holder().isReady() && this.parts.claimsRead().getAsBoolean()
				&& this.parts.drain().phase().isReady();
		return json(context, ready ? OK : UNAVAILABLE, Map.of("ready", ready));
	}

	private Context status(Context context) {
		ConfigVersion version = this.parts.holder().accepted().version();
		return json(context, OK,
				new Status(this.parts.daemon(), version.number(), version.offset(), version.digest(),
						this.parts.holder().isReady(), this.parts.drain().phase().name(),
						this.parts.drain().openRequests(), this.parts.tables().status(this.parts.clock().getAsLong())));
	}

	private Context explain(Context context) {
		String id = context.path("request").value();
		return this.parts.journal()
			.find(id)
			.map((found) -> json(context, OK, new Explanation(this.parts.daemon(), found)))
			.orElseGet(() -> error(context, ErrorCode.NOT_FOUND,
					"request " + id + " is not in the record of daemon " + this.parts.daemon()));
	}

	private Context drain(Context context) {
		try {
			requireOperator(context);
			this.parts.drainer().run();
			return json(context, OK, Map.of("phase", this.parts.drain().phase().name()));
		}
		catch (CodedException ex) {
			return error(context, ex.code(), ex.getMessage());
		}
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
		return context.send(PlatformJson.write(message));
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
	 * @param registry the metrics
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(String daemon, ConfigHolder holder, BooleanSupplier claimsRead, DrainController drain,
			Runnable drainer, RoutingTables tables, RequestJournal journal, PrometheusMeterRegistry registry,
			LongSupplier clock) {
	}

	/**
	 * State of the daemon.
	 *
	 * @param daemon the daemon's name
	 * @param configVersion the accepted configuration version
	 * @param configOffset its log offset
	 * @param configDigest the digest of its text
	 * @param ready whether the accepted configuration is the one in use
	 * @param phase the phase of the shutdown
	 * @param openRequests the open requests
	 * @param endpoints the state of all endpoints
	 */
	private record Status(String daemon, long configVersion, long configOffset, String configDigest, boolean ready,
			String phase, int openRequests, List<EndpointStatus> endpoints) {
	}

	/**
	 * Where a request's record was found.
	 *
	 * @param daemon the daemon's name
	 * @param request the record
	 */
	private record Explanation(String daemon, RequestRecord request) {
	}

}
