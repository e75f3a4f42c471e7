package org.comfreyslip.daemon;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.coordination.drain.DrainPhase;
import org.comfreyslip.daemon.admin.AdminServer;
import org.comfreyslip.daemon.answer.AnswerMetrics;
import org.comfreyslip.daemon.answer.AnswerService;
import org.comfreyslip.daemon.claim.ClaimLog;
import org.comfreyslip.daemon.claim.ClaimMetrics;
import org.comfreyslip.daemon.claim.ProtectedCallService;
import org.comfreyslip.daemon.config.ConfigFollower;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.http.Admission;
import org.comfreyslip.daemon.http.CallerServer;
import org.comfreyslip.daemon.http.RequestMetrics;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.route.EngineClients;
import org.comfreyslip.daemon.route.LoadProber;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.platform.PlatformHttp;
import org.comfreyslip.platform.hosts.HostListClient;
import org.comfreyslip.platform.log.LogClient;
import org.comfreyslip.settings.DaemonSection;
import org.comfreyslip.settings.DaemonSettings;

/**
 * The router daemon: creates its parts, starts them and shuts them down.
 */
public final class Daemon implements AutoCloseable {

	private static final int PLATFORM_LIMIT_MILLIS = 2_000;

	/** Retention that the platform's log has to keep, in ms. */
	private static final long LOG_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(3);

	private static final int JOURNAL_REQUESTS = 10_000;

	private static final int WORKERS = 32;

	private static final int TIMER_THREADS = 2;

	private static final long DRAIN_CHECK_MILLIS = 50;

	private final DaemonSettings settings;

	private final LongSupplier clock = System::nanoTime;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS, threads("timer"));

	private final ExecutorService workers = Executors.newFixedThreadPool(WORKERS, threads("worker"));

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final PlatformHttp http = new PlatformHttp();

	private final ConfigHolder holder = new ConfigHolder();

	private final RoutingTables tables;

	private final DrainController drain;

	private final ConfigFollower follower;

	private final ClaimLog claims;

	private final CallerServer callerServer;

	private final AdminServer adminServer;

	private final CountDownLatch ended = new CountDownLatch(1);

	/**
	 * Creates and starts a daemon.
	 * @param settings the daemon's settings
	 */
	public Daemon(DaemonSettings settings) {
		this.settings = settings;
		DaemonSection self = settings.daemon();
		this.tables = new RoutingTables(self.dataCentre(), new Random());
		this.drain = new DrainController(TimeUnit.MILLISECONDS.toNanos(self.balancerLagMillis()),
				TimeUnit.MILLISECONDS.toNanos(self.drainDeadlineMillis()));
		LogClient log = new LogClient(this.http, settings.platform().log(), PLATFORM_LIMIT_MILLIS);
		IdempotencyKeyPolicy policy = IdempotencyKeyPolicy.withDefaults(LOG_RETENTION_MILLIS);
		this.claims = new ClaimLog(log, self.name() + "/" + UUID.randomUUID(), policy, this.timer, this.workers,
				this.clock, System::currentTimeMillis);
		this.holder.addListener((config) -> this.tables.apply(config, this.clock.getAsLong()));
		this.follower = new ConfigFollower(log, this.holder, Set.copyOf(self.peers()),
				(peer) -> CompletableFuture.completedFuture(Optional.empty()), this.timer);
		RequestJournal journal = new RequestJournal(JOURNAL_REQUESTS);
		EngineClients engines = new EngineClients(this.http, this.tables);
		this.callerServer = new CallerServer(self.httpListen(), settings.tls(), callerParts(policy, journal, engines));
		this.adminServer = new AdminServer(self.adminListen(), settings.tls(),
				new AdminServer.Parts(self.name(), this.holder, this.claims::isStarted, this.drain, this::startDrain,
						this.tables, journal, this.registry, this.clock));
		startFollowing(engines);
		DaemonEvent.STARTED.log(self.name(), self.httpListen(), self.adminListen());
	}

	/**
	 * Begins the shutdown; a second call ends it at once.
	 */
	public void startDrain() {
		DaemonEvent.DRAIN_STARTED.log(this.drain.openRequests());
		this.drain.onSignal(this.clock.getAsLong());
	}

	/**
	 * Waits until the shutdown has ended.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitEnd() throws InterruptedException {
		this.ended.await();
	}

	@Override
	public void close() {
		this.follower.stop();
		this.claims.stop();
		this.callerServer.stop();
		this.adminServer.stop();
		this.timer.shutdownNow();
		this.workers.shutdownNow();
		this.http.close();
	}

	private CallerServer.Parts callerParts(IdempotencyKeyPolicy policy, RequestJournal journal, EngineClients engines) {
		AnswerService answers = new AnswerService(this.tables, engines, this.timer, new AnswerMetrics(this.registry),
				this.clock);
		ProtectedCallService protectedCalls = new ProtectedCallService(this.settings.daemon().name(), this.claims,
				policy, this.tables, this.http, this.timer, new ClaimMetrics(this.registry), this.clock,
				System::currentTimeMillis);
		return new CallerServer.Parts(this.holder, this.drain, new Admission(new Random()), this.tables, journal,
				answers, protectedCalls, this.http, new RequestMetrics(this.registry), this.workers, new Random(),
				this.clock);
	}

	private void startFollowing(EngineClients engines) {
		this.follower.start();
		this.claims.start();
		HostListClient hosts = new HostListClient(this.http, this.settings.platform().hostList(),
				PLATFORM_LIMIT_MILLIS);
		new LoadProber(this.tables, engines, this.http, hosts, this.timer, this.clock).start();
		this.timer.scheduleWithFixedDelay(this::checkDrain, DRAIN_CHECK_MILLIS, DRAIN_CHECK_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void checkDrain() {
		boolean over = this.drain.onTime(this.clock.getAsLong()) == DrainPhase.ENDED;
		if (over && this.ended.getCount() > 0) {
			DaemonEvent.DRAIN_ENDED.log(this.drain.openRequests());
			this.ended.countDown();
		}
	}

	private static ThreadFactory threads(String name) {
		AtomicInteger number = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

}
