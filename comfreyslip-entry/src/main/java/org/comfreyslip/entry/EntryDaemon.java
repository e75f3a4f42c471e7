package org.comfreyslip.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.comfreyslip.entry.blame.CauseKeeper;
import org.comfreyslip.entry.config.ElapsedClock;
import org.comfreyslip.entry.config.FeedReader;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.ReadIntervals;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.http.Listeners;
import org.comfreyslip.entry.http.Router;
import org.comfreyslip.entry.layers.PlacementCoordinator;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.peer.PeerExchange;
import org.comfreyslip.entry.peer.PlainLoadsExtension;
import org.comfreyslip.entry.peer.RegistrationRelay;
import org.comfreyslip.entry.peer.WaitingPromptsExtension;

/**
 * One entry daemon. It reads the topics of the store, takes part in the placement of
 * layers, exchanges messages with its peers and serves callers, all on one event loop.
 */
public final class EntryDaemon {

	/**
	 * Interval between two checks of the open requests, in ms: a fifth of the shortest
	 * pause that must be noticed.
	 */
	private static final long REQUEST_CHECK_INTERVAL_MS = 40;

	/**
	 * Longest time after the start for which requests wait unread, in ms. Callers give up
	 * after a second.
	 */
	private static final long MAX_OPEN_DELAY_MS = 800;

	/**
	 * Interval of the checks after the start whether requests can be served, in ms.
	 */
	private static final long OPEN_CHECK_INTERVAL_MS = 25;

	/** Interval between two checks of connections, registrations and placement, in ms. */
	private static final long HOUSEKEEPING_INTERVAL_MS = 200;

	/**
	 * Longest wait of a read of the configuration at the store, in ms. Each read confirms
	 * the age of the configuration.
	 */
	private static final long MAX_CONFIGURATION_WAIT_MS = 2_000;

	/**
	 * Longest wait of a read of the configuration, as a share of the age up to which API
	 * keys are accepted: two reads and their responses fit in it.
	 */
	private static final double CONFIGURATION_WAIT_SHARE = 0.4;

	/**
	 * Age of the configuration from which a follower reads it itself, as a share of the
	 * age up to which API keys are accepted; leaves time for a read that fails.
	 */
	private static final double FOLLOWER_AGE_SHARE = 0.64;

	/** Age up to which keys are accepted where the settings state none, in ms. */
	private static final long DEFAULT_KEY_FRESHNESS_MS = 5_000;

	/** Time in which registrations that the reader knows arrive from it, in ms. */
	private static final long RELAY_GRACE_MS = 150;

	/** Time for the last responses before the process exits, in ms. */
	private static final long LAST_RESPONSES_MS = 50;

	private final EventLoop loop;

	private EntrySettings settings;

	private final PlatformPorts ports;

	private final Runnable exit;

	private final ElapsedClock clock = new ElapsedClock(System::nanoTime, System::currentTimeMillis);

	private final EndpointDirectory directory = new EndpointDirectory();

	private final KeyedFeed configurationFeed = new KeyedFeed();

	private final KeyedFeed endpointFeed = new KeyedFeed();

	private final FeedReader configurationReader;

	private final FeedReader endpointReader;

	private final PlacementControl placementControl;

	private final PlacementCoordinator placement;

	private final Router router;

	private final PeerExchange peers;

	private final CauseKeeper causeKeeper;

	private Channel callerListener;

	private Channel daemonListener;

	private boolean lastReportedReady;

	private long startedAtNanos;

	/** Whether the open requests have been ended, since the process exits. */
	private boolean exiting;

	/**
	 * Creates the daemon.
	 * @param loop the event loop on which the daemon runs
	 * @param settings the settings at the start
	 * @param ports the interfaces of the platform's adapter
	 * @param exit called at the end of the shutdown, or if the daemon cannot listen; ends
	 * the process
	 */
	public EntryDaemon(EventLoop loop, EntrySettings settings, PlatformPorts ports, Runnable exit) {
		this.loop = loop;
		this.settings = settings;
		this.ports = ports;
		this.exit = exit;
		this.router = new Router(loop, settings, ports.wire(), this.clock, this.directory, this.configurationFeed,
				ports.engines(), new SplittableRandom());
		this.peers = new PeerExchange(loop, settings.name(), settings.dataCentre(),
				new InetSocketAddress(settings.host(), settings.firstPeerPort()), ports.peers(), this.clock::nanos,
				this.configurationFeed, this.endpointFeed, this.router.loads(), this.router.slowdowns(),
				this.router.faults(), this.router.endpointLimits(), this.router.retryBudget(), this.router.crashBlame(),
				this.router, () -> this.settings.configurationApplyMs());
		this.peers.addExtension(new PlainLoadsExtension(this.router.plainLoads(), System::nanoTime));
		this.peers.addExtension(new WaitingPromptsExtension(this.router.waitingPrompts(), System::nanoTime));
		this.router.setRelayPeers(() -> this.peers.table().relayPeers(this.clock.nanos()));
		this.placementControl = new PlacementControl(loop, settings, ports, this.peers,
				this.router::isCutOffFromEngines, this.clock::nanos, this::planPlacement);
		this.placement = new PlacementCoordinator(this.directory, this.router.faults(), this.router.loads(),
				ports.engines(), this.placementControl, this.clock::nanos);
		this.placementControl.setOrdersWanted(this.placement::wantsToOrder);
		this.configurationReader = new FeedReader(loop, "configuration", ports.configurations(), this.configurationFeed,
				this.clock::nanos, this::onConfigurations, configurationIntervals(settings), this.peers::storeReading,
				0);
		this.configurationReader.setOnStoreWentBack(this::onStoreWentBack);
		this.endpointReader = new FeedReader(loop, "endpoints", ports.endpoints(), this.endpointFeed, this.clock::nanos,
				this::onEndpoints, PeerExchange.REGISTRATION_INTERVALS, this.peers::storeReading, RELAY_GRACE_MS);
		this.peers.setOnRelay(this::onRelay);
		this.causeKeeper = new CauseKeeper(this.router.crashBlame(), ports.crashCauses(), ports.crashCauseWriter(),
				System.nanoTime());
	}

	private static ReadIntervals configurationIntervals(EntrySettings settings) {
		long freshnessMs = settings.keyFreshnessMs().orElse(DEFAULT_KEY_FRESHNESS_MS);
		long waitMs = Math.min(MAX_CONFIGURATION_WAIT_MS, Math.round(CONFIGURATION_WAIT_SHARE * freshnessMs));
		return new ReadIntervals(waitMs, waitMs, 0, Math.round(FOLLOWER_AGE_SHARE * freshnessMs), true);
	}

	/** Starts to listen and to read the store. Must be called on the event loop. */
	public void start() {
		ChannelFuture callers = Listeners.bindCallers(this.loop, this.settings.callerAddress(), this.router);
		this.callerListener = callers.channel();
		callers.addListener((bound) -> {
			if (!bound.isSuccess()) {
				EntryLog.write(EntryEvent.TASK_FAILED, "callers", "address", this.settings.callerAddress(), "cause",
						bound.cause());
				this.exit.run();
			}
		});
		ChannelFuture daemons = Listeners.bindDaemons(this.loop,
				new InetSocketAddress(this.settings.host(), this.settings.firstPeerPort()), this.router);
		this.daemonListener = daemons.channel();
		daemons.addListener((bound) -> logIfNotBound(bound, "daemons"));
		Listeners.bindReadiness(this.loop, this.settings.readinessAddress(), this::isReady);
		Listeners
			.bindMetrics(this.loop, this.settings.metricsAddress(),
					() -> this.router.metricsText() + this.placement.metricsText()
							+ this.placementControl.metricsText())
			.addListener((bound) -> logIfNotBound(bound, "metrics"));
		this.configurationReader.start();
		this.endpointReader.start();
		keepCauses();
		this.placementControl.start();
		this.peers.start();
		this.startedAtNanos = System.nanoTime();
		openWhenAbleToServe();
		this.loop.scheduleAtFixedRate(loggingFailures("requests", () -> this.router.checkRequests(System.nanoTime())),
				REQUEST_CHECK_INTERVAL_MS, REQUEST_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(loggingFailures("housekeeping", this::housekeep), HOUSEKEEPING_INTERVAL_MS,
				HOUSEKEEPING_INTERVAL_MS, TimeUnit.MILLISECONDS);
		EntryLog.write(EntryEvent.STARTED, this.settings.name(), "callers", this.settings.callerAddress(),
				"data_centre", this.settings.dataCentre());
	}

	private static void logIfNotBound(Future<?> bound, String listener) {
		if (!bound.isSuccess()) {
			EntryLog.write(EntryEvent.TASK_FAILED, listener, "cause", bound.cause());
		}
	}

	private static Runnable loggingFailures(String name, Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				EntryLog.write(EntryEvent.TASK_FAILED, name, "cause", ex, "at",
						List.of(ex.getStackTrace()).stream().limit(4).toList());
			}
		};
	}

	private void keepCauses() {
		this.causeKeeper.update(System.nanoTime(), System.currentTimeMillis());
	}

	private void housekeep() {
		long now = this.clock.nanos();
		keepCauses();
		this.directory.dropExpired(now);
		this.router.checkConnections(System.nanoTime());
		this.router.endpointLimits().removeExpired(System.nanoTime());
		if (!this.router.isCutOffFromEngines()) {
			planPlacement();
		}
		if (this.router.shutdown().isRequested()) {
			continueShutdown();
		}
	}

	// Requests that arrive before the daemon can serve are left unread for a short time
	// instead of being refused.
	private void openWhenAbleToServe() {
		boolean ableToServe = this.endpointReader.isReady() && this.causeKeeper.hasRead() && this.router.canServe();
		if (ableToServe
				|| System.nanoTime() - this.startedAtNanos >= TimeUnit.MILLISECONDS.toNanos(MAX_OPEN_DELAY_MS)) {
			this.router.acceptRequests();
		}
		else {
			this.loop.schedule(loggingFailures("start", this::openWhenAbleToServe), OPEN_CHECK_INTERVAL_MS,
					TimeUnit.MILLISECONDS);
		}
	}

	private void planPlacement() {
		this.placement.planAndOrder(this.router.configuration().map((one) -> one.services().values()).orElse(List.of()),
				this.clock.nanos(), System.nanoTime());
	}

	// Until the store holds the configuration in force again, or a newer one, it cannot
	// confirm the API keys: it may have lost a version that revokes some.
	private void onStoreWentBack() {
		this.router.recordStoreWentBack();
		this.placementControl.onStoreWentBack(this.configurationFeed.era());
		this.peers.onStoreWentBack(this.configurationFeed.era());
		this.configurationFeed.setConfirmationsHeld(this.router.configuration().isPresent());
	}

	private void onConfigurations(KeyedFeed.Update update) {
		for (KeyedRecord keyed : update.records()) {
			keyed.value().ifPresent((value) -> applyConfiguration(keyed, value));
		}
	}

	private void applyConfiguration(KeyedRecord keyed, byte[] value) {
		try {
			this.ports.decoder().configuration(keyed.key(), value).ifPresent(this::applyIfNewer);
		}
		catch (UnreadableRecordException ex) {
			logUnreadable(keyed, ex);
		}
	}

	private void applyIfNewer(Configuration next) {
		long current = this.router.configuration().map(Configuration::version).orElse(-1L);
		if (next.version() >= current) {
			this.configurationFeed.setConfirmationsHeld(false);
		}
		if (next.version() <= current) {
			return;
		}
		this.router.applyConfiguration(next);
		this.directory.setLayerCounts(layerCounts(next));
		EntryLog.write(EntryEvent.CONFIGURATION, "configuration", "version", next.version(), "before", current,
				"routes", next.routes().size(), "keys", next.accountsByKey().size());
	}

	private static Map<String, Integer> layerCounts(Configuration configuration) {
		Map<String, Integer> counts = new HashMap<>();
		configuration.services()
			.forEach((name, service) -> service.engine().ifPresent((engine) -> counts.put(name, engine.layers())));
		return counts;
	}

	private void onEndpoints(KeyedFeed.Update update) {
		long now = this.clock.nanos();
		boolean nearOutage = this.endpointFeed.hadOutageWithin(EndpointDirectory.LAPSED_USABLE_NANOS, now);
		applyEndpoints(update, nearOutage, now);
		if (update.snapshotKeys().isEmpty()) {
			this.peers.relay(update.records(), nearOutage);
		}
	}

	// Applies registrations that another daemon has read.
	private void onRelay(RegistrationRelay relay) {
		long now = this.clock.nanos();
		KeyedFeed.Update update = this.endpointFeed.onRelayedRecords(relay.era(), relay.records());
		boolean nearOutage = relay.nearOutage()
				|| this.endpointFeed.hadOutageWithin(EndpointDirectory.LAPSED_USABLE_NANOS, now);
		applyEndpoints(update, nearOutage, now);
	}

	private void applyEndpoints(KeyedFeed.Update update, boolean nearOutage, long now) {
		for (KeyedRecord keyed : update.records()) {
			if (keyed.value().isPresent()) {
				register(keyed, keyed.value().get());
			}
			else {
				EntryLog.write(EntryEvent.ENDPOINT_GONE, keyed.key(), "offset", keyed.offset(), "near_outage",
						nearOutage);
				this.directory.remove(keyed.key(), nearOutage, now);
			}
		}
		update.snapshotKeys().ifPresent((keys) -> this.directory.retainOnly(keys, nearOutage, now));
	}

	private static void logUnreadable(KeyedRecord keyed, UnreadableRecordException cause) {
		EntryLog.write(EntryEvent.RECORD_UNREADABLE, keyed.key(), "offset", keyed.offset(), "why", cause.getMessage());
	}

	private void register(KeyedRecord keyed, byte[] value) {
		try {
			Endpoint endpoint = this.ports.decoder().endpoint(keyed.key(), value);
			boolean restarted = this.directory.findUsable(endpoint.id())
				.filter((old) -> old.incarnationStartMs() < endpoint.incarnationStartMs())
				.isPresent();
			if (restarted) {
				this.router.faults().forget(endpoint.id());
			}
			if (this.directory.register(endpoint)) {
				EntryLog.write(EntryEvent.ENDPOINT_CHANGED, endpoint.id(), "address", endpoint.address(), "draining",
						endpoint.draining(), "layers", endpoint.layers(), "usable",
						this.directory.findUsable(endpoint.id()).isPresent(), "offset", keyed.offset());
			}
		}
		catch (UnreadableRecordException ex) {
			logUnreadable(keyed, ex);
		}
	}

	private boolean isReady() {
		boolean ready = !this.router.shutdown().isRequested() && this.endpointReader.isReady()
				&& this.router.canServe();
		if (ready != this.lastReportedReady) {
			this.lastReportedReady = ready;
			EntryLog.write((ready) ? EntryEvent.READY : EntryEvent.NOT_READY, this.settings.name(), "callers",
					this.router.callers().count(), "why", (ready) ? "none" : notReadyReason());
		}
		return ready;
	}

	private String notReadyReason() {
		if (this.router.shutdown().isRequested()) {
			return "stopping";
		}
		return this.router.obstacle().orElse("registrations not read");
	}

	/**
	 * Applies changed settings. The addresses, the name and the data centre stay as they
	 * were at the start, because peers and the store identify the daemon by them.
	 * @param next the new settings
	 */
	public void reload(EntrySettings next) {
		if (next.equals(this.settings)) {
			return;
		}
		this.settings = next.withIdentityOf(this.settings);
		this.router.applySettings(this.settings);
		EntryLog.write(EntryEvent.RELOADED, this.settings.name(), "key_freshness_ms", next.keyFreshnessMs(),
				"retry_ratio", next.retryRatio(), "retry_constant", next.retryConstant(), "grace_ms", next.graceMs());
	}

	/**
	 * Begins the shutdown: open requests are completed as far as the grace period allows,
	 * then the process exits. Further calls have no effect.
	 */
	public void stop() {
		if (this.router.shutdown().isRequested()) {
			return;
		}
		this.router.shutdown().request(System.nanoTime());
		this.peers.stopReadingForOthers();
		this.placementControl.stop();
		EntryLog.write(EntryEvent.STOPPING, this.settings.name(), "callers", this.router.callers().count());
	}

	private void continueShutdown() {
		ShutdownPhase phase = this.router.shutdown().phase(this.settings.graceMs(), System.nanoTime());
		if (phase == ShutdownPhase.ACCEPTING) {
			return;
		}
		this.callerListener.close();
		this.daemonListener.close();
		this.router.callers().closeIdleAtStop(System.nanoTime());
		boolean idle = !this.router.hasOpenRequests() && this.router.callers().count() == 0;
		if (idle) {
			exit(true);
		}
		else if (phase == ShutdownPhase.OVER && !this.exiting) {
			this.exiting = true;
			this.router.endOpenRequests();
			this.loop.schedule(() -> exit(false), LAST_RESPONSES_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void exit(boolean idle) {
		EntryLog.write(EntryEvent.STOPPED, this.settings.name(), "idle", idle);
		this.exit.run();
	}

}
