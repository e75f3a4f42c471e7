package org.comfreyslip.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.comfreyslip.entry.config.ElapsedClock;
import org.comfreyslip.entry.config.FeedReader;
import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.http.Listeners;
import org.comfreyslip.entry.http.Router;
import org.comfreyslip.entry.layers.DutyLease;
import org.comfreyslip.entry.layers.PlacementCoordinator;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.peer.PeerExchange;

/**
 * One daemon: follows the store, takes part in the placement duty and serves callers, all
 * on one event loop.
 */
public final class EntryDaemon {

	/**
	 * Time between two looks at open requests, in ms; a fifth of the shortest pause that
	 * matters.
	 */
	private static final long REQUEST_TICK_MS = 40;

	/**
	 * Longest time after the start in which requests wait unread, in ms; callers give up
	 * after a second.
	 */
	private static final long OPEN_AFTER_MS = 800;

	/** Time between two looks whether requests can be served at the start, in ms. */
	private static final long OPEN_CHECK_MS = 25;

	/** Time between two looks at connections, registrations and the placement, in ms. */
	private static final long HOUSEKEEPING_MS = 200;

	/**
	 * How long a read of the configuration waits, in ms; renews the keys' freshness well
	 * within its bound.
	 */
	private static final long CONFIGURATION_WAIT_MS = 2_000;

	/** How long a read of the registrations waits, in ms. */
	private static final long ENDPOINTS_WAIT_MS = 1_500;

	/**
	 * Pause between reads of the registrations, in ms; a leaving endpoint must be known
	 * within 2 s.
	 */
	private static final long ENDPOINTS_PACE_MS = 700;

	private final EventLoop loop;

	private EntrySettings settings;

	private final PlatformPorts ports;

	private final Runnable exit;

	private final ElapsedClock clock = new ElapsedClock(System::nanoTime, System::currentTimeMillis);

	private final EndpointDirectory directory = new EndpointDirectory();

	private final KeyedFeed configurationFeed = new KeyedFeed();

	private final KeyedFeed endpointFeed = new KeyedFeed();

	private final DutyLease lease = new DutyLease();

	private final FeedReader configurationReader;

	private final FeedReader endpointReader;

	private final PlacementCoordinator placement;

	private final Router router;

	private final PeerExchange peers;

	private Channel callerListener;

	private boolean wasReady;

	private long startNanos;

	private long stopNanos;

	private boolean stopping;

	/**
	 * Creates the daemon.
	 * @param loop the event loop on which everything runs
	 * @param settings the settings
	 * @param ports the platform's adapter
	 * @param exit ends the process after the shutdown
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
				this.configurationFeed, this.router.loads(), this.router.paces(), this.router.faults(),
				this.router.budget());
		this.placement = new PlacementCoordinator(this.directory, this.router.faults(), this.router.loads(),
				ports.engines(), this.lease);
		this.configurationReader = new FeedReader(loop, "configuration", ports.configurations(), this.configurationFeed,
				this.clock::nanos, this::onConfigurations, CONFIGURATION_WAIT_MS, 0);
		this.endpointReader = new FeedReader(loop, "endpoints", ports.endpoints(), this.endpointFeed, this.clock::nanos,
				this::onEndpoints, ENDPOINTS_WAIT_MS, ENDPOINTS_PACE_MS);
	}

	/** Starts to listen and to follow the store. Runs on the event loop. */
	public void start() {
		ChannelFuture callers = Listeners.callers(this.loop, this.settings.callers(), this.router);
		this.callerListener = callers.channel();
		callers.addListener((bound) -> {
			if (!bound.isSuccess()) {
				EntryLog.write(EntryEvent.TASK_FAILED, "callers", "address", this.settings.callers(), "cause",
						bound.cause());
				this.exit.run();
			}
		});
		Listeners.readiness(this.loop, this.settings.readiness(), this::isReady);
		Listeners.metrics(this.loop, this.settings.metrics(), this.router.metrics()).addListener((bound) -> {
			if (!bound.isSuccess()) {
				EntryLog.write(EntryEvent.TASK_FAILED, "metrics", "address", this.settings.metrics(), "cause",
						bound.cause());
			}
		});
		this.configurationReader.start();
		this.endpointReader.start();
		renewDuty();
		this.peers.start();
		this.startNanos = System.nanoTime();
		openWhenServing();
		this.loop.scheduleAtFixedRate(guarded("requests", () -> this.router.tick(System.nanoTime())), REQUEST_TICK_MS,
				REQUEST_TICK_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(guarded("housekeeping", this::housekeep), HOUSEKEEPING_MS, HOUSEKEEPING_MS,
				TimeUnit.MILLISECONDS);
		EntryLog.write(EntryEvent.STARTED, this.settings.name(), "callers", this.settings.callers(), "data_centre",
				this.settings.dataCentre());
	}

	private static Runnable guarded(String name, Runnable task) {
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

	private void housekeep() {
		long now = this.clock.nanos();
		this.directory.dropExpired(now);
		this.router.tickConnections(System.nanoTime());
		this.router.configuration()
			.ifPresent(
					(configuration) -> this.placement.tick(configuration.services().values(), now, System.nanoTime()));
		if (this.stopping) {
			continueStop();
		}
	}

	// A request that arrives while the daemon starts is served a moment later rather than
	// refused.
	private void openWhenServing() {
		boolean serving = this.endpointReader.isReady() && this.router.canServe();
		if (serving || System.nanoTime() - this.startNanos >= TimeUnit.MILLISECONDS.toNanos(OPEN_AFTER_MS)) {
			this.router.open();
		}
		else {
			this.loop.schedule(guarded("start", this::openWhenServing), OPEN_CHECK_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void renewDuty() {
		long sent = this.clock.nanos();
		this.ports.duties().join(this.lease.generation(), DutyLease.TTL_MS, (joined) -> {
			joined.ifPresent((answer) -> this.lease.onRenewed(answer.holdsDuty(), answer.generation(), sent));
			if (!this.stopping) {
				this.loop.schedule(this::renewDuty, DutyLease.RENEW_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void onConfigurations(KeyedFeed.Update step) {
		for (KeyedRecord keyed : step.records()) {
			keyed.value().ifPresent((value) -> applyConfiguration(keyed, value));
		}
	}

	private void applyConfiguration(KeyedRecord keyed, byte[] value) {
		try {
			this.ports.decoder().configuration(keyed.key(), value).ifPresent(this::configure);
		}
		catch (UnreadableRecordException ex) {
			skip(keyed, ex);
		}
	}

	private void configure(Configuration next) {
		long current = this.router.configuration().map(Configuration::version).orElse(-1L);
		if (next.version() <= current) {
			return;
		}
		this.router.configure(next);
		EntryLog.write(EntryEvent.CONFIGURATION, "configuration", "version", next.version(), "before", current,
				"routes", next.routes().size(), "keys", next.accountsByKey().size());
	}

	private void onEndpoints(KeyedFeed.Update step) {
		long now = this.clock.nanos();
		boolean nearOutage = this.endpointFeed.hadOutageWithin(EndpointDirectory.LAPSED_USABLE_NANOS, now);
		for (KeyedRecord keyed : step.records()) {
			if (keyed.value().isPresent()) {
				register(keyed, keyed.value().get());
			}
			else {
				EntryLog.write(EntryEvent.ENDPOINT_GONE, keyed.key(), "offset", keyed.offset(), "near_outage",
						nearOutage);
				this.directory.remove(keyed.key(), nearOutage, now);
			}
		}
		step.snapshotKeys().ifPresent((keys) -> this.directory.retainOnly(keys, nearOutage, now));
	}

	private static void skip(KeyedRecord keyed, UnreadableRecordException cause) {
		EntryLog.write(EntryEvent.RECORD_UNREADABLE, keyed.key(), "offset", keyed.offset(), "why", cause.getMessage());
	}

	private void register(KeyedRecord keyed, byte[] value) {
		try {
			Endpoint endpoint = this.ports.decoder().endpoint(keyed.key(), value);
			boolean reborn = this.directory.findUsable(endpoint.id())
				.filter((old) -> old.incarnationStartMs() < endpoint.incarnationStartMs())
				.isPresent();
			if (reborn) {
				this.router.faults().forget(endpoint.id());
			}
			if (this.directory.register(endpoint)) {
				EntryLog.write(EntryEvent.ENDPOINT_CHANGED, endpoint.id(), "address", endpoint.address(), "draining",
						endpoint.draining(), "layers", endpoint.layers(), "offset", keyed.offset());
			}
		}
		catch (UnreadableRecordException ex) {
			skip(keyed, ex);
		}
	}

	private boolean isReady() {
		boolean ready = !this.stopping && this.endpointReader.isReady() && this.router.canServe();
		if (ready != this.wasReady) {
			this.wasReady = ready;
			EntryLog.write((ready) ? EntryEvent.READY : EntryEvent.NOT_READY, this.settings.name(), "callers",
					this.router.callerCount());
		}
		return ready;
	}

	/**
	 * Takes changed settings. Addresses, name and data centre stay as they were at the
	 * start, because peers and the store know the daemon by them.
	 * @param next the settings as they are now
	 */
	public void reload(EntrySettings next) {
		if (next.equals(this.settings)) {
			return;
		}
		this.settings = next.withIdentityOf(this.settings);
		this.router.reload(this.settings);
		EntryLog.write(EntryEvent.RELOADED, this.settings.name(), "key_freshness_ms", next.keyFreshnessMs(),
				"retry_ratio", next.retryRatio(), "retry_constant", next.retryConstant(), "grace_ms", next.graceMs());
	}

	/** Begins the shutdown: open requests are finished, then the process ends. */
	public void stop() {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.stopNanos = System.nanoTime();
		this.router.stop();
		this.ports.duties().leave();
		EntryLog.write(EntryEvent.STOPPING, this.settings.name(), "callers", this.router.callerCount());
	}

	private void continueStop() {
		long sinceMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.stopNanos);
		ShutdownPhase phase = ShutdownPhase.at(sinceMs, this.settings.graceMs());
		if (phase == ShutdownPhase.ACCEPTING) {
			return;
		}
		this.callerListener.close();
		this.router.closeIdleCallers();
		boolean idle = !this.router.isBusy() && this.router.callerCount() == 0;
		if (idle || phase == ShutdownPhase.OVER) {
			EntryLog.write(EntryEvent.STOPPED, this.settings.name(), "idle", idle);
			this.exit.run();
		}
	}

}
