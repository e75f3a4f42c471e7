package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.EntrySettings;
import org.comfreyslip.entry.blame.CrashBlame;
import org.comfreyslip.entry.config.ElapsedClock;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.fleet.FaultKind;
import org.comfreyslip.entry.fleet.LeastWaitSelector;
import org.comfreyslip.entry.fleet.PlainLoads;
import org.comfreyslip.entry.layers.EngineControl;
import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.RequestLimits;
import org.comfreyslip.entry.model.ServiceSpec;
import org.comfreyslip.entry.prompt.PromptPaths;
import org.comfreyslip.entry.prompt.WaitingPrompts;
import org.comfreyslip.entry.reach.EndpointReach;
import org.comfreyslip.entry.reach.OwnReach;
import org.comfreyslip.entry.reach.RelayPeer;
import org.comfreyslip.entry.retry.RetryBudget;
import org.comfreyslip.entry.retry.RetryReport;
import org.comfreyslip.entry.route.RouteTable;

/**
 * State that all requests share: the configuration in force, the endpoints, the loads and
 * the retry budget. Admits requests, and gives them the classes that decide about them.
 */
public final class Router implements ReachMonitor.Listener, OwnReach {

	/**
	 * Time without an established connection after which the way to the endpoints is
	 * checked, in ms: many round trips.
	 */
	private static final long SLOW_CONNECT_MS = 80;

	/**
	 * Time without a byte from any endpoint of a service after which the way to them is
	 * checked, in ms.
	 */
	private static final long SILENCE_MS = 300;

	private EntrySettings settings;

	private final HeaderTranslator headers;

	private final EndpointPool pool;

	private final RequestAdmission admission;

	private final ReachMonitor reachMonitor;

	private final PeerRelays relays;

	private final ElapsedClock clock;

	private final EndpointDirectory directory;

	private final KeyedFeed configurationFeed;

	private final KeyFreshness keyFreshness;

	private final EndpointFaults faults = new EndpointFaults();

	private final EndpointLimits endpointLimits;

	private final CrashBlame crashBlame;

	private final LayerLoads loads;

	private final EngineSlowdowns slowdowns = new EngineSlowdowns();

	private final EndpointMonitor monitor;

	private final WaitingPrompts waitingPrompts = new WaitingPrompts();

	private final PlainLoads plainLoads;

	private final LeastWaitSelector plainSelector;

	private final TargetSelector targets;

	private final Refusals refusals;

	private final Sender sender;

	private final EndpointResults results;

	private final RetryBudget retryBudget;

	private final RetryReport retryReport;

	private final EntryMetrics metrics = new EntryMetrics();

	private final RequestLog log;

	private final StreamProbes probes;

	private final BufferLimits buffers = new BufferLimits();

	private final Callers callers = new Callers();

	private final Set<Exchange> openExchanges = new HashSet<>();

	private Configuration configuration;

	private RouteTable routeTable;

	private RequestLimits limits = RequestLimits.INITIAL;

	/** Whether the requests of callers are read. */
	private boolean acceptingRequests;

	private final Shutdown shutdown = new Shutdown();

	/**
	 * Creates a router that reads no requests until {@link #acceptRequests()}.
	 * @param loop the event loop on which everything runs
	 * @param settings the daemon's settings
	 * @param headers translates header fields
	 * @param clock elapsed time, to which the age of the configuration refers
	 * @param directory the registered endpoints
	 * @param configurationFeed gives the age of the configuration
	 * @param engines control calls to engines
	 * @param random source of random numbers
	 */
	public Router(EventLoop loop, EntrySettings settings, HeaderTranslator headers, ElapsedClock clock,
			EndpointDirectory directory, KeyedFeed configurationFeed, EngineControl engines, RandomGenerator random) {
		this.settings = settings;
		this.headers = headers;
		this.clock = clock;
		this.directory = directory;
		this.configurationFeed = configurationFeed;
		this.keyFreshness = new KeyFreshness(configurationFeed);
		this.admission = new RequestAdmission(random);
		this.loads = new LayerLoads(random);
		this.log = new RequestLog(this.metrics, this.loads);
		this.reachMonitor = new ReachMonitor(loop, directory, random, this.log, this);
		this.pool = new EndpointPool(loop, (head) -> headers.readResponse(head), this.reachMonitor);
		this.relays = new PeerRelays(loop, headers, settings.dataCentre(), this.reachMonitor.reach(), random);
		this.monitor = new EndpointMonitor(loop, this::onConnectionRefused);
		this.endpointLimits = new EndpointLimits(settings.name(), settings.dataCentre(), System.nanoTime());
		this.probes = new StreamProbes(engines, directory, this.endpointLimits, this.slowdowns, this.log,
				this::recordUnreachable);
		this.crashBlame = new CrashBlame(settings.name(), System.nanoTime());
		this.plainLoads = new PlainLoads(System.nanoTime());
		this.plainSelector = new LeastWaitSelector(this.faults, this.plainLoads, random);
		this.targets = new TargetSelector(settings.dataCentre(), directory, this.faults, this.endpointLimits,
				this.loads, this.slowdowns, new PromptPaths(this.waitingPrompts), this.plainSelector,
				this.reachMonitor.reach(), this.relays, random);
		this.refusals = new Refusals(this.targets, this.endpointLimits, this.crashBlame, this.log, random);
		this.sender = new Sender(headers, this.pool, this.relays, this.loads, this.waitingPrompts, this.plainSelector,
				this.endpointLimits, this.monitor, this.log);
		this.results = new EndpointResults(directory, this.faults, this.plainSelector, this.log);
		this.retryBudget = new RetryBudget(settings.retryRatio(), settings.retryConstant(),
				settings.retryWindowSeconds(), System.nanoTime());
		this.retryReport = new RetryReport(this.retryBudget, this.metrics);
	}

	/**
	 * Puts a configuration in force for requests that arrive from now on.
	 * @param newConfiguration the configuration; replaces the previous one
	 */
	public void applyConfiguration(Configuration newConfiguration) {
		this.configuration = newConfiguration;
		this.routeTable = new RouteTable(newConfiguration);
		this.limits = newConfiguration.limits();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration; empty before the first one
	 */
	public Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Returns the faults recorded against endpoints.
	 * @return the faults, shared with the other parts of the daemon
	 */
	public EndpointFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the request rates that endpoints state as their limits.
	 * @return the limits, which responses update
	 */
	public EndpointLimits endpointLimits() {
		return this.endpointLimits;
	}

	/**
	 * Returns what is known of requests that crash endpoints.
	 * @return the causes, which broken sends and answers update
	 */
	public CrashBlame crashBlame() {
		return this.crashBlame;
	}

	/**
	 * Returns the loads of engines and links.
	 * @return the loads, which requests update
	 */
	public LayerLoads loads() {
		return this.loads;
	}

	/**
	 * Returns the prompts that wait at engines.
	 * @return the prompts, which sends update
	 */
	public WaitingPrompts waitingPrompts() {
		return this.waitingPrompts;
	}

	/**
	 * Returns the requests at the endpoints of plain services.
	 * @return the loads, which requests update
	 */
	public PlainLoads plainLoads() {
		return this.plainLoads;
	}

	/**
	 * Returns the slowdown factors of engines.
	 * @return the slowdown factors, which probes update
	 */
	public EngineSlowdowns slowdowns() {
		return this.slowdowns;
	}

	/** Counts that the store has gone back to an older copy of its records. */
	public void recordStoreWentBack() {
		this.metrics.increment(EntryMetrics.Count.STORE_WENT_BACK);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the counters, the histograms, the limits of endpoints and the retry budget
	 */
	public String metricsText() {
		return this.metrics.text() + EndpointLimitMetrics.text(this.endpointLimits.states(System.nanoTime()))
				+ this.retryReport.metricsText();
	}

	/**
	 * Returns the retry budget.
	 * @return the budget, from which each retry is taken
	 */
	public RetryBudget retryBudget() {
		return this.retryBudget;
	}

	/**
	 * Sets where the other daemons are found that requests can be passed on to.
	 * @param source returns the daemons that are alive
	 */
	public void setRelayPeers(Supplier<List<RelayPeer>> source) {
		this.relays.setPeers(source);
	}

	PeerRelays relays() {
		return this.relays;
	}

	HeaderTranslator headers() {
		return this.headers;
	}

	EndpointResults results() {
		return this.results;
	}

	Sender sender() {
		return this.sender;
	}

	RequestLog log() {
		return this.log;
	}

	TargetSelector targets() {
		return this.targets;
	}

	Refusals refusals() {
		return this.refusals;
	}

	StreamProbes probes() {
		return this.probes;
	}

	BufferLimits buffers() {
		return this.buffers;
	}

	RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the shutdown. Once it is requested, each further response announces that
	 * the connection closes after it.
	 * @return the shutdown
	 */
	public Shutdown shutdown() {
		return this.shutdown;
	}

	boolean allowsFirstSend(RequestDeadline deadline, long nowNanos) {
		return this.shutdown.allowsFirstSend(deadline, this.settings.graceMs(), nowNanos);
	}

	// Tells whether callers are asked to open a new connection for their next request.
	boolean closesCallers() {
		return this.shutdown.isRequested() || this.relays.isOutOfRotation();
	}

	@Override
	public List<String> lostServices() {
		return this.reachMonitor.reach().lostServices();
	}

	@Override
	public boolean isCutOffFromEngines() {
		List<String> lost = lostServices();
		if (lost.isEmpty() || this.configuration == null) {
			return false;
		}
		return this.configuration.services()
			.values()
			.stream()
			.filter((service) -> service.engine().isPresent() && lost.contains(service.name()))
			.anyMatch((service) -> this.relays.canPassOn(service.name(), System.nanoTime()));
	}

	@Override
	public boolean takesRelays() {
		return this.acceptingRequests && !this.shutdown.isRequested();
	}

	// A fault counts once a connection that was opened since shows that this host's
	// network works.
	@Override
	public boolean isFaultCertain(String endpointId) {
		EndpointReach reach = this.reachMonitor.reach();
		boolean lost = this.directory.findUsable(endpointId).filter((one) -> reach.isLost(one.service())).isPresent();
		OptionalLong failedAt = this.faults.lastUnreachableNanos(endpointId);
		return !lost && failedAt.isPresent() && reach.isProvenSince(failedAt.getAsLong());
	}

	private boolean isLost(String service) {
		return this.reachMonitor.reach().isLost(service);
	}

	long configurationVersion() {
		return configuration().map(Configuration::version).orElse(-1L);
	}

	@Override
	public void onConnectFailed() {
		this.metrics.increment(EntryMetrics.Count.CONNECTS_FAILED);
	}

	@Override
	public boolean isAvoided(String endpointId, long nowNanos) {
		return this.faults.isAvoided(endpointId, nowNanos);
	}

	@Override
	public void onTrial() {
		this.metrics.increment(EntryMetrics.Count.REACH_TRIALS);
	}

	// Requests that have not been written to an endpoint yet are passed on at once.
	@Override
	public void onLost(String service, long nowNanos) {
		this.monitor.forget(service);
		this.relays.update(nowNanos);
		for (Exchange exchange : new ArrayList<>(this.openExchanges)) {
			exchange.onServiceLost(service);
		}
	}

	@Override
	public void onReachedAgain(String service, long nowNanos) {
		this.directory.usableEndpoints(service).forEach((endpoint) -> this.faults.clearUnreachable(endpoint.id()));
		this.relays.update(nowNanos);
	}

	// Acts on signs that a send to an endpoint makes no progress: trials show whether it
	// is the endpoint or the way to it.
	void checkProgress(String service, long silenceMs, boolean connecting, long nowNanos) {
		boolean slowConnect = connecting && silenceMs >= SLOW_CONNECT_MS;
		boolean silent = !connecting && silenceMs >= SILENCE_MS && this.reachMonitor.reach()
			.silenceNanos(service, nowNanos) >= TimeUnit.MILLISECONDS.toNanos(SILENCE_MS);
		if (slowConnect || silent) {
			this.reachMonitor.doubt(service, nowNanos);
		}
	}

	void onContact(String service, long nowNanos) {
		this.reachMonitor.reach().onContact(service, nowNanos);
	}

	// Tells why a request of another daemon is not taken here; empty if it is.
	Optional<String> declineReason(RelayEnvelope envelope) {
		if (configurationVersion() < envelope.configurationVersion()) {
			return Optional.of("older configuration");
		}
		return (this.relays.tryTake()) ? Optional.empty() : Optional.of("too many requests of other daemons");
	}

	/**
	 * Applies the settings that may change while the daemon runs: the freshness of keys
	 * and the retry budget.
	 * @param newSettings the settings
	 */
	public void applySettings(EntrySettings newSettings) {
		this.settings = newSettings;
		this.retryBudget.setLimits(newSettings.retryRatio(), newSettings.retryConstant(),
				newSettings.retryWindowSeconds());
	}

	/**
	 * Starts to read requests. Callers may connect earlier, but their requests are not
	 * read before.
	 */
	public void acceptRequests() {
		this.acceptingRequests = true;
		this.callers.startReading();
	}

	boolean isAcceptingRequests() {
		return this.acceptingRequests;
	}

	/** Ends all open requests, since the process exits. */
	public void endOpenRequests() {
		new ArrayList<>(this.openExchanges).forEach(Exchange::endAtExit);
	}

	/**
	 * Tells whether requests are open.
	 * @return whether a request is being received or its response is still due
	 */
	public boolean hasOpenRequests() {
		return !this.openExchanges.isEmpty() || this.callers.areAnyBusy();
	}

	/**
	 * Returns the connections of callers.
	 * @return the connections
	 */
	public Callers callers() {
		return this.callers;
	}

	/**
	 * Tells whether requests can be served.
	 * @return whether a configuration is in force, the API keys are fresh, each model
	 * service has a path through all layers or is reached through other daemons, and
	 * these do not serve callers with less effort
	 */
	public boolean canServe() {
		return obstacle().isEmpty();
	}

	/**
	 * Returns why requests cannot be served.
	 * @return the reason, for the log; empty if they can be served
	 */
	public Optional<String> obstacle() {
		if (this.configuration == null) {
			return Optional.of("no configuration");
		}
		if (!areKeysFresh()) {
			return Optional.of("stale keys");
		}
		if (this.relays.isOutOfRotation()) {
			return Optional.of("endpoints out of reach");
		}
		for (ServiceSpec service : this.configuration.services().values()) {
			boolean passedOn = isLost(service.name()) && this.relays.canPassOn(service.name(), System.nanoTime());
			if (service.engine().isPresent() && !passedOn) {
				boolean hasPath = this.targets.hasPath(service.name(), service.engine().get(), System.nanoTime());
				if (!hasPath) {
					return Optional.of("no path of " + service.name());
				}
			}
		}
		return Optional.empty();
	}

	private boolean areKeysFresh() {
		return this.keyFreshness.areFresh(this.settings.keyFreshnessMs(), this.clock.nanos());
	}

	long staleRetryMs() {
		return this.keyFreshness.staleRetryMs(this.settings.keyFreshnessMs(), this.clock.nanos());
	}

	RequestAdmission.Admission admit(CallerConnection.IncomingRequest request, HeaderTranslator.RequestFields fields) {
		return this.admission.admit(request, fields, this.configuration, this.routeTable,
				this.configurationFeed.ageNanos(this.clock.nanos()), staleRetryMs());
	}

	// Checks again just before a send whether the API keys are fresh enough to accept the
	// request.
	boolean mayStillSend(RequestAdmission.AdmittedRequest admitted) {
		return admitted.account().isEmpty() || areKeysFresh();
	}

	// The endpoint's process has ended, or the way to it is cut.
	private void onConnectionRefused(Endpoint endpoint, long nowNanos) {
		this.faults.recordConnectionRefused(endpoint.id(), true, nowNanos);
		this.reachMonitor.onRefused(endpoint, nowNanos);
	}

	// Ends the sends of all streams through an endpoint that can continue on another
	// path.
	@Override
	public void onEnded(Endpoint endpoint, long nowNanos) {
		this.log.recordEnded(endpoint);
		boolean leaving = this.directory.findUsable(endpoint.id()).isEmpty();
		this.faults.recordConnectionRefused(endpoint.id(), leaving, nowNanos);
		if (!leaving) {
			this.crashBlame.onEndpointEnded(endpoint.processId(), nowNanos);
		}
		for (Exchange exchange : new ArrayList<>(this.openExchanges)) {
			if (exchange.path().filter((path) -> path.usesEndpoint(endpoint.id())).isPresent()) {
				boolean isFirst = exchange.path().get().firstEndpoint().id().equals(endpoint.id());
				exchange.abandonSend((isFirst) ? SendFailureCause.CLOSED : SendFailureCause.LATER_STAGE_LOST);
			}
		}
	}

	// Finds out whether an endpoint of a plain service, which is not monitored, has
	// ended.
	void checkWhetherEnded(Endpoint endpoint) {
		this.monitor.checkOnce(endpoint);
	}

	boolean hasRetryLeft(String service, long nowNanos) {
		return this.retryBudget.hasRetryLeft(service, nowNanos);
	}

	boolean tryTakeRetry(String service, long nowNanos) {
		boolean taken = this.retryBudget.tryTakeRetry(service, nowNanos);
		this.retryReport.onDecision(service, taken, nowNanos);
		return taken;
	}

	void onRequestOpened(Exchange exchange, RequestAdmission.AdmittedRequest admitted) {
		this.openExchanges.add(exchange);
		this.metrics.increment(EntryMetrics.Count.REQUESTS);
		// The daemon that passed a request on has counted it for the budget.
		if (!exchange.isOfOtherDaemon()) {
			this.retryBudget.recordRequest(admitted.service(), System.nanoTime());
		}
	}

	void onRequestClosed(Exchange exchange, Outcome outcome, String reason) {
		this.openExchanges.remove(exchange);
		this.log.recordClosed(exchange.id(), outcome, reason, exchange.ageMs(), exchange.describeSends(),
				configurationVersion());
	}

	void onResponseHead(Endpoint endpoint, HeaderTranslator.ResponseFields fields, long sentAtNanos, long nowNanos) {
		this.endpointLimits.onResponse(endpoint.id(), fields.requestsPerSecond(), fields.signed(), sentAtNanos,
				nowNanos);
	}

	// Trials show whether the fault is the endpoint's.
	private void recordUnreachable(Endpoint endpoint, long nowNanos) {
		this.faults.recordFault(FaultKind.UNREACHABLE, endpoint.id(), nowNanos);
		this.reachMonitor.doubt(endpoint.service(), nowNanos);
	}

	/**
	 * Checks the deadlines and the progress of all open requests. Called periodically.
	 * @param nowNanos the current steady time in ns
	 */
	public void checkRequests(long nowNanos) {
		this.reachMonitor.update(nowNanos);
		for (Exchange exchange : new ArrayList<>(this.openExchanges)) {
			exchange.checkTimeouts(nowNanos);
		}
	}

	/**
	 * Closes connections that were idle for too long and updates the monitored endpoints.
	 * Called periodically.
	 * @param nowNanos the current steady time in ns
	 */
	public void checkConnections(long nowNanos) {
		this.callers.checkTimeouts(nowNanos);
		this.pool.closeExpired(nowNanos);
		this.plainSelector.removeExpired(nowNanos);
		this.relays.update(nowNanos);
		this.monitor.updateConnections(nowNanos);
	}

}
