package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.EntrySettings;
import org.comfreyslip.entry.config.ElapsedClock;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.fleet.LeastWaitSelector;
import org.comfreyslip.entry.layers.EngineControl;
import org.comfreyslip.entry.layers.EnginePaces;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.layers.PathFinder;
import org.comfreyslip.entry.model.ClientAccount;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.RequestLimits;
import org.comfreyslip.entry.model.Route;
import org.comfreyslip.entry.model.ServiceSpec;
import org.comfreyslip.entry.model.SocketAddresses;
import org.comfreyslip.entry.retry.RetryBudget;
import org.comfreyslip.entry.route.RouteTable;

/**
 * What all exchanges share: the configuration in force, the endpoints, the loads and the
 * budgets. It admits requests and chooses endpoints for them.
 */
public final class Router {

	/**
	 * When a caller may come back after a refusal for stale keys, in ms: about one
	 * confirming read.
	 */
	static final long STALE_RETRY_MS = 400;

	/**
	 * Time between two inquiries about one stream, in ms: the engines' reports are this
	 * old.
	 */
	static final long INQUIRY_GAP_MS = 200;

	/**
	 * Age of the configuration, in ns, up to which a missing route or key is stated as
	 * such.
	 */
	private static final long SURE_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** Bodies that are held at once, in bytes; a sixth of the smallest process. */
	private static final long MAX_BUFFERED = 48L << 20;

	/**
	 * Time after which capacity for a refused stream is expected, in ms: a fraction of a
	 * stream's length.
	 */
	private static final long CAPACITY_RETRY_MS = 500;

	/**
	 * Daemons that share the retry budget until their number is known; above today's
	 * sizes.
	 */
	private static final int ASSUMED_DAEMONS = 12;

	/**
	 * Objectives without a response after which an idempotent request is tried elsewhere.
	 */
	private static final int PLAIN_PATIENCE = 2;

	/** Share of the longest pause after which a stream is looked into, in percent. */
	private static final int GAP_SHARE_PERCENT = 75;

	/** Pause after which a stream is looked into on a route that states none, in ms. */
	private static final long DEFAULT_GAP_MS = 300;

	private EntrySettings settings;

	private final Wire wire;

	private final EndpointPool pool;

	private final ElapsedClock clock;

	private final EndpointDirectory directory;

	private final KeyedFeed configurationFeed;

	private final EndpointFaults faults = new EndpointFaults();

	private final LayerLoads loads = new LayerLoads();

	private final EnginePaces paces = new EnginePaces();

	private final EndpointWatch watch;

	private final LeastWaitSelector plain;

	private final RetryBudget budget;

	private final EntryMetrics metrics = new EntryMetrics();

	private final EngineControl engines;

	private final RandomGenerator random;

	private final Set<CallerConnection> callers = new HashSet<>();

	private final Set<Exchange> open = new HashSet<>();

	private final Map<String, List<Consumer<Optional<EngineControl.Report>>>> inquiries = new HashMap<>();

	private Configuration configuration;

	private RouteTable routes;

	private RequestLimits limits = RequestLimits.INITIAL;

	private boolean opened;

	private boolean stopping;

	private long buffered;

	/**
	 * Creates the router.
	 * @param loop the event loop on which everything runs
	 * @param settings the daemon's settings
	 * @param wire translates header fields
	 * @param clock elapsed time
	 * @param directory the endpoints
	 * @param configurationFeed the age of the configuration
	 * @param engines calls to engines
	 * @param random source of random numbers
	 */
	public Router(EventLoop loop, EntrySettings settings, Wire wire, ElapsedClock clock, EndpointDirectory directory,
			KeyedFeed configurationFeed, EngineControl engines, RandomGenerator random) {
		this.settings = settings;
		this.wire = wire;
		this.clock = clock;
		this.directory = directory;
		this.configurationFeed = configurationFeed;
		this.engines = engines;
		this.random = random;
		this.pool = new EndpointPool(loop, wire);
		this.watch = new EndpointWatch(loop, this::onEndpointDown);
		this.plain = new LeastWaitSelector(this.faults, random);
		this.budget = new RetryBudget(settings.retryRatio(), settings.retryConstant(), settings.retryWindowSeconds(),
				ASSUMED_DAEMONS);
	}

	/**
	 * Puts a configuration in force for requests that arrive from now on.
	 * @param next the configuration
	 */
	public void configure(Configuration next) {
		this.configuration = next;
		this.routes = new RouteTable(next);
		this.limits = next.limits();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty before the first
	 */
	public Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Returns the recent failures of endpoints.
	 * @return the failures
	 */
	public EndpointFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the loads of the engines.
	 * @return the loads
	 */
	public LayerLoads loads() {
		return this.loads;
	}

	/**
	 * Returns the slow engines.
	 * @return the slow engines
	 */
	public EnginePaces paces() {
		return this.paces;
	}

	/**
	 * Returns the counters and histograms.
	 * @return the metrics
	 */
	public EntryMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Returns the retry budget.
	 * @return the budget
	 */
	public RetryBudget budget() {
		return this.budget;
	}

	Wire wire() {
		return this.wire;
	}

	EndpointPool pool() {
		return this.pool;
	}

	LeastWaitSelector plain() {
		return this.plain;
	}

	RequestLimits limits() {
		return this.limits;
	}

	boolean isStopping() {
		return this.stopping;
	}

	/**
	 * Takes settings that may change while the daemon runs: the freshness of keys and the
	 * retry budget.
	 * @param next the settings
	 */
	public void reload(EntrySettings next) {
		this.settings = next;
		this.budget.setLimits(next.retryRatio(), next.retryConstant(), next.retryWindowSeconds());
	}

	/** Lets requests in. Before, callers may connect, but their requests are not read. */
	public void open() {
		this.opened = true;
		new ArrayList<>(this.callers).forEach(CallerConnection::open);
	}

	boolean isOpen() {
		return this.opened;
	}

	/** Announces to callers that their connections end with the next response. */
	public void stop() {
		this.stopping = true;
	}

	/** Closes connections without an open request. */
	public void closeIdleCallers() {
		new ArrayList<>(this.callers).forEach(CallerConnection::closeIdle);
	}

	/**
	 * Tells whether requests are open.
	 * @return whether an answer is still due
	 */
	public boolean isBusy() {
		return !this.open.isEmpty() || this.callers.stream().anyMatch(CallerConnection::isBusy);
	}

	/**
	 * Returns how many callers are connected.
	 * @return the number of connections
	 */
	public int callerCount() {
		return this.callers.size();
	}

	/**
	 * Tells whether each model service has a path and the keys are fresh, so that
	 * requests can be served.
	 * @return whether requests can be served
	 */
	public boolean canServe() {
		if (this.configuration == null || !isFresh()) {
			return false;
		}
		for (ServiceSpec service : this.configuration.services().values()) {
			if (service.engine().isPresent()) {
				boolean path = new PathFinder(service.engine().get(), new LayerLoads(), this.paces)
					.find(holders(service.name(), System.nanoTime()), this.settings.dataCentre(), 1, (first) -> true,
							System.nanoTime())
					.isPresent();
				if (!path) {
					return false;
				}
			}
		}
		return true;
	}

	private boolean isFresh() {
		return this.settings.keyFreshnessMs().isEmpty() || this.configurationFeed
			.ageNanos(this.clock.nanos()) < TimeUnit.MILLISECONDS.toNanos(this.settings.keyFreshnessMs().get());
	}

	void onCallerOpened(CallerConnection caller) {
		this.callers.add(caller);
	}

	void onCallerClosed(CallerConnection caller) {
		this.callers.remove(caller);
	}

	boolean tryBuffer(int bytes) {
		if (this.buffered + bytes > MAX_BUFFERED) {
			return false;
		}
		this.buffered += bytes;
		return true;
	}

	void unbuffer(int bytes) {
		this.buffered -= bytes;
	}

	void onRejected(int status, String why) {
		EntryLog.write(EntryEvent.REQUEST_REJECTED, "unread", "status", status, "why", why);
	}

	Admission admit(CallerConnection.Incoming incoming, Wire.RequestFacts facts) {
		if (this.configuration == null) {
			return Admission.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration yet", 1_000);
		}
		boolean sure = this.configurationFeed.ageNanos(this.clock.nanos()) < SURE_AGE_NANOS;
		Optional<Route> found = this.routes.find(incoming.host(), incoming.head().uri());
		if (found.isEmpty()) {
			return (sure) ? Admission.refuse(HttpResponseStatus.NOT_FOUND, "no such route", -1) : Admission
				.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no such route known yet", STALE_RETRY_MS);
		}
		Route route = found.get();
		Optional<ClientAccount> account = Optional.empty();
		if (!route.keyless() && this.configuration.keysRequired()) {
			account = facts.apiKey().map(this.configuration.accountsByKey()::get);
			if (account.isEmpty()) {
				return (sure || facts.apiKey().isEmpty())
						? Admission.refuse(HttpResponseStatus.UNAUTHORIZED, "the API key is not valid", -1)
						: Admission.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the API key is not known yet",
								STALE_RETRY_MS);
			}
		}
		ServiceSpec service = this.configuration.services().get(chooseService(route));
		if (service == null) {
			return Admission.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the route has no service", 1_000);
		}
		int priority = account.filter((one) -> one.priority() >= 0)
			.map(ClientAccount::priority)
			.orElse(route.priority());
		return Admission.admit(
				new Admitted(this.configuration.version(), route, service.name(), service.engine(), account, priority));
	}

	private String chooseService(Route route) {
		double total = 0;
		for (Route.WeightedService service : route.services()) {
			total += service.weight();
		}
		double point = this.random.nextDouble() * total;
		for (Route.WeightedService service : route.services()) {
			point -= service.weight();
			if (point < 0) {
				return service.service();
			}
		}
		return route.services().get(route.services().size() - 1).service();
	}

	// Tells whether a request's key may still be accepted, just before it is passed on.
	boolean mayForward(Admitted admitted) {
		return admitted.account().isEmpty() || isFresh();
	}

	Optional<Endpoint> choosePlain(String service, Collection<String> tried, long nowNanos) {
		return this.plain.choose(this.directory.usableEndpoints(service), tried, this.settings.dataCentre(), nowNanos);
	}

	Optional<LayerPath> findPath(Admitted admitted, int tokens, Predicate<Endpoint> allowedFirst, long nowNanos) {
		PathFinder finder = new PathFinder(admitted.engine().get(), this.loads, this.paces);
		return finder.find(holders(admitted.service(), nowNanos), this.settings.dataCentre(), tokens, allowedFirst,
				nowNanos);
	}

	private List<Endpoint> holders(String service, long nowNanos) {
		List<Endpoint> holders = new ArrayList<>();
		for (Endpoint endpoint : this.directory.usableEndpoints(service)) {
			if (endpoint.layers().isPresent() && !this.faults.isAvoided(endpoint.id(), nowNanos)) {
				holders.add(endpoint);
			}
		}
		return holders;
	}

	// The process of an endpoint ended; all streams that run through it go on elsewhere.
	private void onEndpointDown(Endpoint endpoint, long nowNanos) {
		EntryLog.write(EntryEvent.ENDPOINT_BLAMED, endpoint.id(), "asked", "connection", "status", "refused");
		boolean leaving = this.directory.findUsable(endpoint.id()).isEmpty();
		this.faults.recordConnectionRefused(endpoint.id(), leaving, nowNanos);
		for (Exchange exchange : new ArrayList<>(this.open)) {
			if (exchange.path().filter((path) -> path.uses(endpoint.id())).isPresent()) {
				exchange.abandonSend(BreakCause.CLOSED);
			}
		}
	}

	// Tells whether an endpoint's process ended while it was to serve. Endpoints that
	// left count on against the limits of routes, whether they still serve or have
	// exited as planned.
	boolean hasEnded(String id) {
		return this.faults.hasExitedUnexpectedly(id);
	}

	void watch(LayerPath path, long nowNanos) {
		path.parts().forEach((part) -> this.watch.use(part.endpoint(), nowNanos));
	}

	long capacityRetryMs() {
		return CAPACITY_RETRY_MS + (long) (this.random.nextDouble() * CAPACITY_RETRY_MS);
	}

	boolean hasRetryLeft(String service, long nowNanos) {
		return this.budget.hasRetryLeft(service, nowNanos);
	}

	boolean tryRetry(String service, long nowNanos) {
		return this.budget.tryTakeRetry(service, nowNanos);
	}

	long plainPatienceMs(Route route) {
		return PLAIN_PATIENCE * route.targetLatencyMs();
	}

	long gapPatienceMs(Route route) {
		return (route.targetGapMs() > 0) ? GAP_SHARE_PERCENT * route.targetGapMs() / 100 : DEFAULT_GAP_MS;
	}

	// Mean pause between events above which a stream counts as slow, in ms.
	long slowGapMs(Route route) {
		return gapPatienceMs(route) / 2;
	}

	long firstPatienceMs(Route route) {
		return Math.max(route.targetLatencyMs(), DEFAULT_GAP_MS);
	}

	void onOpened(Exchange exchange, Admitted admitted) {
		this.open.add(exchange);
		this.metrics.increment(EntryMetrics.Count.REQUESTS);
		this.budget.recordRequest(admitted.service(), System.nanoTime());
	}

	void onClosed(Exchange exchange, Outcome outcome, String why) {
		this.open.remove(exchange);
		this.metrics.increment(outcome.count());
		this.metrics.record(EntryMetrics.Time.REQUEST, exchange.ageMs());
		EntryLog.write(EntryEvent.REQUEST_CLOSED, exchange.id(), "outcome", outcome, "why", why, "detail",
				exchange.describe(), "version", (this.configuration != null) ? this.configuration.version() : -1);
	}

	void onFirstEvent(long arrivalNanos, long nowNanos) {
		this.metrics.record(EntryMetrics.Time.FIRST_EVENT, TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivalNanos));
	}

	void onMoved(String requestId, String endpoint, String why) {
		this.metrics.increment(EntryMetrics.Count.MOVED);
		EntryLog.write(EntryEvent.REQUEST_MOVED, requestId, "endpoint", endpoint, "why", why);
	}

	// Records a refusal; returns whether another endpoint than the asked one caused it.
	boolean onRefusedByEndpoint(Endpoint asked, String blamedAddress, int status, long nowNanos) {
		Endpoint blamed = findByAddress(asked.service(), blamedAddress).orElse(asked);
		EntryLog.write(EntryEvent.ENDPOINT_BLAMED, blamed.id(), "asked", asked.id(), "status", status);
		this.metrics.increment(EntryMetrics.Count.ENDPOINTS_BLAMED);
		this.faults.recordFault(blamed.id(), nowNanos);
		return !blamed.id().equals(asked.id());
	}

	private Optional<Endpoint> findByAddress(String service, String address) {
		for (Endpoint endpoint : this.directory.usableEndpoints(service)) {
			if (SocketAddresses.text(endpoint.address()).equals(address)) {
				return Optional.of(endpoint);
			}
		}
		return Optional.empty();
	}

	// Asks the engines of a slow stream how slow they are.
	void onSlowStream(LayerPath path, long nowNanos) {
		for (LayerPath.Part part : path.parts()) {
			Endpoint endpoint = part.endpoint();
			if (this.paces.startAsking(endpoint.id(), nowNanos)) {
				this.engines.report(endpoint, (report) -> report.ifPresent((one) -> {
					this.paces.onReport(endpoint.id(), one.pace(), System.nanoTime());
					if (one.pace() > EnginePaces.SLOW) {
						EntryLog.write(EntryEvent.ENGINE_SLOW, endpoint.id(), "pace", one.pace());
					}
				}));
			}
		}
	}

	// Asks the first endpoint of a stream's path whether the stream waits for another
	// one.
	void inquire(Exchange exchange, Endpoint first, Consumer<Verdict> done) {
		String id = exchange.id();
		Consumer<Optional<EngineControl.Report>> judge = (report) -> done.accept(judge(id, first, report));
		List<Consumer<Optional<EngineControl.Report>>> waiting = this.inquiries.get(first.id());
		if (waiting != null) {
			waiting.add(judge);
			return;
		}
		this.inquiries.put(first.id(), new ArrayList<>(List.of(judge)));
		this.engines.report(first, (report) -> this.inquiries.remove(first.id()).forEach((one) -> one.accept(report)));
	}

	private Verdict judge(String attemptId, Endpoint first, Optional<EngineControl.Report> report) {
		long now = System.nanoTime();
		Verdict verdict = Verdict.WORKING;
		if (report.isEmpty()) {
			this.faults.recordFault(first.id(), now);
			verdict = Verdict.UNREACHABLE;
		}
		else {
			for (EngineControl.Stalled stalled : report.get().stalled()) {
				if (stalled.attemptId().equals(attemptId)) {
					findByAddress(first.service(), stalled.address())
						.ifPresent((endpoint) -> this.faults.recordFault(endpoint.id(), now));
					verdict = Verdict.STALLED;
				}
			}
		}
		EntryLog.write(EntryEvent.STREAM_INQUIRED, attemptId, "first", first.id(), "verdict", verdict);
		return verdict;
	}

	/**
	 * Watches the time of all open requests and connections.
	 * @param nowNanos the current steady time in ns
	 */
	public void tick(long nowNanos) {
		for (Exchange exchange : new ArrayList<>(this.open)) {
			exchange.tick(nowNanos);
		}
	}

	/**
	 * Closes connections that were idle for too long.
	 * @param nowNanos the current steady time in ns
	 */
	public void tickConnections(long nowNanos) {
		for (CallerConnection caller : new ArrayList<>(this.callers)) {
			caller.tick(nowNanos);
		}
		this.pool.closeStale(nowNanos);
		this.watch.tick(nowNanos);
	}

	/** What an inquiry about a stream found. */
	enum Verdict {

		/** The stream is being worked on. */
		WORKING,

		/** A part of its path does not answer. */
		STALLED,

		/** The first part does not answer. */
		UNREACHABLE

	}

	/**
	 * A request that may be served.
	 *
	 * @param version the version that decided
	 * @param route the route
	 * @param service the service
	 * @param engine the service's engine, empty for plain services
	 * @param account the client account, empty on keyless routes
	 * @param priority rank of the request, 0 is the most urgent
	 */
	record Admitted(long version, Route route, String service, Optional<EngineSpec> engine,
			Optional<ClientAccount> account, int priority) {
	}

	/**
	 * Whether a request may be served.
	 *
	 * @param admitted the admitted request, {@code null} if refused
	 * @param refusal the refusal, {@code null} if admitted
	 * @param reason why it was refused
	 */
	record Admission(Admitted admitted, DefaultFullHttpResponse refusal, String reason) {

		static Admission admit(Admitted admitted) {
			return new Admission(admitted, null, "");
		}

		static Admission refuse(HttpResponseStatus status, String message, long retryAfterMs) {
			return new Admission(null, Replies.own(status, message, retryAfterMs), status.code() + " " + message);
		}

	}

}
