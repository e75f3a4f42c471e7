package org.comfreyslip.standins;

import java.net.BindException;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;

/**
 * HTTP server of one stand-in. Several can live in one process.
 */
public final class StandinServer implements AutoCloseable {

	/** A KV cache travels as one body. */
	private static final int MAX_REQUEST_BYTES = 64 * 1024 * 1024;

	/** Jooby writes larger request bodies to a file; the default is 16 KB. */
	private static final int MEMORY_BODY_BYTES = 8 * 1024 * 1024;

	/** A free port can be taken by another process before the server binds it. */
	private static final int BIND_ATTEMPTS = 5;

	private static final int EXIT_STATUS = 137;

	private final StandinArguments arguments;

	private final String host;

	private final StandinRuntime runtime;

	private final Standin standin;

	private Jooby app;

	private NettyServer server;

	private int port;

	private final boolean exits;

	private StandinServer(StandinKind kind, StandinArguments arguments, boolean exits) {
		this.exits = exits;
		this.arguments = arguments;
		String listen = arguments.text("listen", StandinKind.DEFAULT_LISTEN);
		int colon = listen.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("--listen must be ip:port, not " + listen);
		}
		this.host = listen.substring(0, colon);
		this.port = Integer.parseInt(listen.substring(colon + 1));
		this.runtime = newRuntime(kind, arguments);
		this.standin = kind.create(arguments, this.runtime);
	}

	/**
	 * Creates and starts a stand-in.
	 * @param kind the kind
	 * @param arguments the kind's options, see {@code docs/stand-ins.md}
	 * @return the running server
	 */
	public static StandinServer start(StandinKind kind, String... arguments) {
		return start(kind, false, arguments);
	}

	// Only the program offers POST /exit, because it ends the whole process.
	static StandinServer start(StandinKind kind, boolean exits, String... arguments) {
		StandinServer server = new StandinServer(kind, StandinArguments.parse(kind.options(), arguments), exits);
		server.start();
		return server;
	}

	/**
	 * Starts the server, after {@link #stop()} again at the same port and with the state
	 * kept.
	 */
	public void start() {
		for (int attempt = 1;; attempt++) {
			try {
				startOnce();
				return;
			}
			catch (Exception ex) {
				this.server.stop();
				if (attempt == BIND_ATTEMPTS || !isAddressInUse(ex)) {
					throw new IllegalStateException("cannot listen at " + this.host + ":" + this.port, ex);
				}
			}
		}
	}

	/**
	 * Stops the server and closes its connections.
	 */
	public void stop() {
		this.app.stop();
		this.server.stop();
	}

	/**
	 * Returns the bound port.
	 * @return the port
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Returns the bound address.
	 * @return ip:port
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

	/**
	 * Puts a fault in force.
	 * @param order the fault
	 */
	public void fault(FaultOrder order) {
		this.runtime.faults().set(order);
	}

	@Override
	public void close() {
		stop();
		this.standin.close();
		this.runtime.timer().shutdownNow();
		this.runtime.workers().shutdownNow();
	}

	private void startOnce() {
		ServerOptions options = new ServerOptions().setPort(this.port)
			.setIoThreads(this.arguments.number("io-threads", 2))
			.setWorkerThreads(1)
			.setMaxRequestSize(MAX_REQUEST_BYTES)
			.setBufferSize(MEMORY_BODY_BYTES)
			.setDefaultHeaders(false);
		options.setHost(this.host);
		this.app = new Jooby();
		this.app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		this.app.setServerOptions(options);
		addRoutes();
		this.server = new NettyServer();
		this.server.setOptions(options);
		this.server.start(this.app);
		this.port = options.getPort();
	}

	private void addRoutes() {
		FaultGate gate = new FaultGate(this.runtime);
		this.standin.register((method, pattern, handler) -> this.app
			.route(method, pattern, (context) -> gate.handle(context, handler))
			.setReturnType(Context.class));
		this.app.route("POST", "/faults", (context) -> gate.control(context, (request) -> {
			fault(request.json(FaultOrder.class));
			return StandinReply.json("ok").now();
		})).setReturnType(Context.class);
		if (!this.exits) {
			return;
		}
		this.app.route("POST", "/exit", (context) -> {
			Runtime.getRuntime().halt(EXIT_STATUS);
			return context;
		}).setReturnType(Context.class);
	}

	private static StandinRuntime newRuntime(StandinKind kind, StandinArguments arguments) {
		String name = kind.name().toLowerCase(Locale.ROOT);
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(daemons(name + "-timer"));
		ExecutorService workers = Executors.newFixedThreadPool(Math.max(1, arguments.number("workers", 4)),
				daemons(name + "-worker"));
		FaultSwitch faults = new FaultSwitch(arguments.number("seed", 1), System::nanoTime);
		return new StandinRuntime(name, timer, workers, faults);
	}

	private static ThreadFactory daemons(String name) {
		return (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		};
	}

	private static boolean isAddressInUse(Throwable ex) {
		for (Throwable cause = ex; cause != null; cause = cause.getCause()) {
			if (cause instanceof BindException) {
				return true;
			}
		}
		return false;
	}

}
